import {once} from 'node:events';
import {connect} from 'node:net';
import {expect} from 'chai';
import {startServiceServer} from '../src/index.js';

const CALL = 'POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}';

describe('service stand-in', () => {
  it('answers calls that arrive on kept connections while it stops', async () => {
    // Guards against a planned stop that resets a connection with an unread call, which leaves the
    // host unable to say whether the call ran.
    const service = await startServiceServer();
    const socket = connect(service.port, '127.0.0.1');
    socket.write(CALL);
    const [first] = (await once(socket, 'data')) as [Buffer];
    expect(first.toString()).to.match(/^HTTP\/1.1 200 /);
    socket.write(CALL);
    const stopped = service.stop(1000);
    const [second] = (await once(socket, 'data')) as [Buffer];
    expect(second.toString()).to.match(/^HTTP\/1.1 503 [^]*\r\nx-radishgw-execution: not_run\r\n/);
    await stopped;
    expect(service.executions).to.have.length(1);
  });
});
