import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {FIXED_ENDPOINTS} from '../src/caller/endpoints.js';
import {MAX_HEADER_BYTES} from '../src/caller/caller-server.js';
import {PARSER_ERROR_KINDS} from '../src/caller/parser-errors.js';
import {MAX_DEADLINE_MS, MAX_IDEMPOTENCY_KEY_CHARS} from '../src/request/caller-headers.js';
import {MAX_STORED_BODY_BYTES} from '../src/request/idempotency.js';
import {REFUSAL_KINDS} from '../src/request/refusal.js';
import {MAX_RESPONSE_BYTES} from '../src/request/service-attempt.js';
import {parseSettings} from '../src/settings.js';

const PAGE = readFileSync(
  fileURLToPath(new URL('../../../../docs/API.md', import.meta.url)),
  'utf8',
);

describe("the documentation of the callers' API", () => {
  it('lists exactly the errors that the code can return, with their status', () => {
    // Guards against undocumented errors.
    const rows = [...PAGE.matchAll(/^\| (\d{3}) +\| `(\w+)` /gm)];
    const onPage = rows.map(([, status, code]) => `${status} ${code}`);
    const refusals = Object.values(REFUSAL_KINDS).map(kind => `${kind.statusCode} ${kind.code}`);
    const codes = new Set([...refusals, '405 method_not_allowed']);
    for (const {statusCode, code} of Object.values(PARSER_ERROR_KINDS)) {
      if (statusCode !== 431) codes.add(`${statusCode} ${code}`);
    }
    expect(onPage.sort()).to.deep.equal([...codes].sort());
  });

  it('states the paths and limits of the code', () => {
    // Guards against a page that states the limits or paths of an earlier version.
    for (const {method, path} of FIXED_ENDPOINTS) expect(PAGE).to.include(`\`${method} ${path}\``);
    const settings = parseSettings(
      ['host-id=h', 'failure-domain=d', 'platform-url=http://127.0.0.1:1']
        .concat(['caller', 'operator', 'inner'].map(name => `${name}-address=127.0.0.1:1`))
        .concat(['ca', 'certificate', 'key'].map(name => `inner-${name}-file=f`))
        .map(setting => `--${setting}`),
    );
    const {maxBodyBytes, requestTimeoutMs, maxInFlight, defaultDeadlineMs} = settings;
    for (const line of [
      `\`--max-body-bytes\`, ${maxBodyBytes} bytes`,
      `\`--request-timeout-ms\`, ${requestTimeoutMs} ms`,
      `\`--max-in-flight\`, ${maxInFlight} `,
      `\`--default-deadline-ms\`, ${defaultDeadlineMs} ms`,
      `larger values count as ${MAX_DEADLINE_MS}`,
      `1 to ${MAX_IDEMPOTENCY_KEY_CHARS} visible`,
      `more than ${MAX_STORED_BODY_BYTES} bytes`,
      `${MAX_RESPONSE_BYTES} bytes`,
      `${MAX_HEADER_BYTES} bytes`,
    ]) {
      expect(PAGE).to.include(line);
    }
  });
});
