import {HttpPlatform} from '@radishgw/coordination';
import {describePlatformContract} from '@radishgw/coordination/contract';
import {startPlatformServer} from '../src/index.js';

const CALL_TIMEOUT_MS = 10_000;

// Guards against an adapter or a stand-in that behaves differently from the in-memory platform,
// which the long randomised runs use.
describePlatformContract('HTTP adapter and platform stand-in', async () => {
  const server = await startPlatformServer();
  const platform = new HttpPlatform({baseUrl: server.url, callTimeoutMs: CALL_TIMEOUT_MS});
  return {
    platform,
    close: async () => {
      await platform.close();
      server.server.closeAllConnections();
      server.server.close();
    },
  };
});
