import {expect} from 'chai';
import {RelayMetrics} from '../src/metrics.js';

describe('metrics', () => {
  it('are written in the text format of Prometheus', () => {
    // Guards against lines without a value and lines with the same name and labels.
    const metrics = new RelayMetrics();
    metrics.count('requests_total', 'route="a",result="answered"');
    metrics.count('requests_total', 'route="a",result="answered"', 2);
    metrics.observeMs('request_ms', 'route="a"', 12.4);
    const lines = metrics.format().trimEnd().split('\n');
    for (const line of lines) expect(line).to.match(/^radishgw_\w+\{[^{}]+\} \d+(\.\d+)?$/);
    expect(new Set(lines.map(line => line.split(' ')[0]))).to.have.length(lines.length);
    expect(lines).to.include('radishgw_requests_total{route="a",result="answered"} 3');
    expect(lines).to.include('radishgw_request_ms{route="a",quantile="0.5"} 12');
    expect(lines).to.include('radishgw_request_ms_count{route="a"} 1');
  });

  it('accept latencies outside their range', () => {
    // Guards against a latency whose recording throws and ends the process.
    const metrics = new RelayMetrics();
    metrics.observeMs('request_ms', 'route="a"', -1);
    metrics.observeMs('request_ms', 'route="a"', 1e9);
    expect(metrics.format()).to.contain('radishgw_request_ms_count{route="a"} 2');
  });
});
