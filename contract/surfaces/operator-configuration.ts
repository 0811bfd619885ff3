/** Configuration files of both daemons: fields, defaults, limits, and how faults are answered. */
import { MECHANISMS } from '../../src/common/mechanisms.js';
import { checkCookieDaemonConfig, cookieDaemonConfigSchema } from '../../src/cookie-edge/daemon/config.js';
import { daemonConfigSchema, parseDaemonConfig } from '../../src/gue-edge/daemon/config.js';
import { describeSchema } from './operator-schemas.js';

const PLACE = { id: 'balancer-1', region: 'region', zone: 'zone-a' };
const ADDRESSES = { control: '127.0.0.1:1', data: '127.0.0.1:2', admin: '127.0.0.1:0' };

const DAEMON_MINIMAL = { ...PLACE, ...ADDRESSES, fabricReturn: '127.0.0.1:4', clusterKeyFile: 'keys' };
const DAEMON_FULL = {
  ...DAEMON_MINIMAL,
  platform: 'http://127.0.0.1:7000',
  seeds: ['127.0.0.1:5'],
  placement: 'rendezvous',
  controlBudgetBytesPerSecond: 11,
  exceptionBytesPerSecond: 12,
  limits: { maxFlows: 13, maxPendingOpenings: 14, maxMemoryMegabytes: 15 },
  log: { format: 'json', level: 'debug' },
  drain: { quietMs: 16, maxMs: 17 },
};

const COOKIE_MINIMAL = { ...PLACE, ...ADDRESSES, source: '127.0.0.1:4' };
const COOKIE_FULL = {
  ...COOKIE_MINIMAL,
  seeds: ['127.0.0.1:5'],
  seedPort: 6,
  changeBoundsMs: [11, 12],
  cordonBoundMs: 13,
  zoneRegions: { 'zone-a': 'region' },
  coldOverage: 1.5,
  coldSlack: 2.5,
  maxFlowAgeMs: 14,
  zoneMargin: 3.5,
  zoneLoadFactor: 4.5,
  outliers: { slowFactor: 5.5, quorum: 15, maxAvoidedShare: 0.25 },
  switchedOff: ['long-watches'],
  limits: { maxFlows: 16 },
  drain: { minMs: 17, quietMs: 18, maxMs: 19 },
  log: { level: 'debug', burst: 20 },
};

type Check = (value: unknown) => unknown;

/** What a check gives; of a rejection its kind and the named fields. */
function outcome(check: Check, value: unknown): unknown {
  try {
    return check(value);
  } catch (error) {
    const { kind, faults } = error as { kind?: string; faults?: readonly { path: string }[] };
    return { rejected: kind, fields: faults?.map(({ path }) => path) };
  }
}

function outcomes(check: Check, minimal: object, full: object): unknown {
  return {
    minimal: outcome(check, minimal),
    full: outcome(check, full),
    empty: outcome(check, {}),
    unknownField: outcome(check, { ...minimal, noSuchField: 1 }),
    unknownGroupField: outcome(check, { ...minimal, limits: { noSuchField: 1 } }),
    portZeroElsewhere: outcome(check, { ...minimal, seeds: ['127.0.0.1:0'] }),
    hostName: outcome(check, { ...minimal, data: 'localhost:1' }),
  };
}

/** The daemon's configuration file. */
export async function daemonConfiguration(): Promise<unknown> {
  const check: Check = (value) => parseDaemonConfig(value);
  return {
    schema: describeSchema(daemonConfigSchema),
    ...Object(outcomes(check, DAEMON_MINIMAL, DAEMON_FULL)),
  };
}

/** The configuration file of a daemon on a cookie edge, with the mechanisms that can be switched off. */
export async function cookieDaemonConfiguration(): Promise<unknown> {
  const check: Check = (value) => checkCookieDaemonConfig(value, 'contract');
  const accepted = MECHANISMS.filter((name) => {
    const config = checkCookieDaemonConfig({ ...COOKIE_MINIMAL, switchedOff: [name] }, 'contract');
    return config.switchedOff.includes(name);
  });
  return {
    schema: describeSchema(cookieDaemonConfigSchema),
    ...Object(outcomes(check, COOKIE_MINIMAL, COOKIE_FULL)),
    switchedOff: accepted.sort(),
    unknownMechanism: outcome(check, { ...COOKIE_MINIMAL, switchedOff: ['no-such-mechanism'] }),
  };
}
