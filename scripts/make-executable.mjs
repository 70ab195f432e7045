// npm links binaries before the first build, so the execute bit is set after each build.
import {chmodSync, existsSync} from 'node:fs';

for (const file of ['packages/gateway/dist/src/main.js', 'packages/ctl/dist/src/main.js']) {
  if (existsSync(file)) chmodSync(file, 0o755);
}
