import {once} from 'node:events';
import {connect} from 'node:net';
import {expect} from 'chai';
import {startServiceServer} from '../src/index.js';

const REQUEST = 'POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}';

describe('service stand-in', () => {
  it('refuses calls that arrive on keep-alive connections while it stops', async () => {
    // Guards against a planned stop that resets a connection with an unread call, so that the host
    // can't determine whether the call was executed.
    const service = await startServiceServer();
    const socket = connect(service.port, '127.0.0.1');
    socket.write(REQUEST);
    const [firstResponse] = (await once(socket, 'data')) as [Buffer];
    expect(firstResponse.toString()).to.match(/^HTTP\/1.1 200 /);
    socket.write(REQUEST);
    const stopped = service.stop(1000);
    const [secondResponse] = (await once(socket, 'data')) as [Buffer];
    expect(secondResponse.toString()).to.match(
      /^HTTP\/1.1 503 [^]*\r\nx-radishgw-execution: not_run\r\n/,
    );
    await stopped;
    expect(service.executions).to.have.length(1);
  });
});
