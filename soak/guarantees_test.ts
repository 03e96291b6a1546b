import t from 'tap';
import { makeAnswer } from '../stand_in/mod.ts';
import {
  CRASHING_PATH,
  findViolations,
  type ObservedCall,
  type ObservedRun,
} from './guarantees.ts';

const CALL: ObservedCall = {
  id: 'c-1',
  method: 'POST',
  path: '/result/1',
  bodyBytes: 4,
  isSafe: false,
  homeRegions: ['ar-centro'],
  machineId: '127.1.0.1',
  callerPool: 'boards',
  sentAtMs: 0,
  completedAtMs: 50,
  status: 200,
  isSigned: true,
  body: makeAnswer('c-1', '/result/1'),
  wasFaultFree: true,
  wasEntryFaultFree: true,
};
const RUN: ObservedRun = {
  callId: 'c-1',
  targetId: 'i-1-1',
  method: 'POST',
  path: '/result/1',
  callerPool: 'boards',
  bodyBytes: 4,
  atMs: 10,
  isCold: false,
  rate: undefined,
  region: 'ar-centro',
};
const COLD_RUNS = 20;
const RATE = { callsPerSecond: 2, sinceMs: 0 };
/** Calls in two seconds that a target with this rate does and does not tolerate. */
const RATED_RUNS = { tolerated: 17, tooMany: 18 };

/** Makes runs of the call that crashes its targets: three, and others later than daemons need to know of them. */
function makeCrashes(later: number): Case {
  const atMs = [0, 100, 200, ...Array.from({ length: later }, (_, index) => 5_000 + index * 100)];
  return {
    call: { isSafe: true, path: CRASHING_PATH, status: 502 },
    runs: atMs.map((each) => ({ path: CRASHING_PATH, atMs: each })),
  };
}

interface Case {
  call?: Partial<ObservedCall>;
  runs?: Partial<ObservedRun>[];
}

function makeRatedRuns(count: number, fromMs: number): Partial<ObservedRun>[] {
  return Array.from({ length: count }, (_, index) => ({ rate: RATE, atMs: fromMs + index * 100 }));
}

const CASES: Record<string, Case> = {
  'a call that ran and was answered': {},
  'a call that ran twice': { runs: [{}, {}] },
  'a safe call that ran twice': { call: { isSafe: true }, runs: [{}, {}] },
  'a refusal of a call that ran': { call: { status: 503, isSigned: false, body: '' } },
  'a refusal of a call that did not run': { call: { status: 503 }, runs: [] },
  'an answer to another call': { call: { body: makeAnswer('c-2', '/result/1') } },
  'an answer without a signature': { call: { isSigned: false } },
  'a truncated answer': { call: { body: undefined } },
  'a run with another path': { runs: [{ path: '/result/2' }] },
  'a run under another pool of the caller': { runs: [{ callerPool: 'none' }] },
  'a run of a call that no client sent': { runs: [{}, { callId: 'c-9' }] },
  'a run in another region': { runs: [{ region: 'ar-sur' }] },
  'a call that crashes its targets': makeCrashes(3),
  'a call that goes on to crash its targets': makeCrashes(4),
  'a connection cut while the call ran': { call: { status: undefined, body: undefined } },
  'a connection cut close to a fault': {
    call: { status: undefined, body: undefined, wasFaultFree: false },
  },
  'too many calls at a cold target': {
    call: { isSafe: true },
    runs: Array.from({ length: COLD_RUNS }, (_, index) => ({ isCold: true, atMs: index * 40 })),
  },
  'too many calls at a target that names a rate': {
    call: { isSafe: true },
    runs: makeRatedRuns(RATED_RUNS.tooMany, 4_000),
  },
  'as many calls as a target that names a rate tolerates': {
    call: { isSafe: true },
    runs: makeRatedRuns(RATED_RUNS.tolerated, 4_000),
  },
  'too many calls while a rate may not be known yet': {
    call: { isSafe: true },
    runs: makeRatedRuns(RATED_RUNS.tooMany, 1_000),
  },
};

void t.test('findViolations() finds each kind of violation', (t) => {
  for (const [name, { call, runs = [{}] }] of Object.entries(CASES)) {
    const findings = findViolations(
      [{ ...CALL, ...call }],
      runs.map((run) => ({ ...RUN, ...run })),
    );
    t.matchSnapshot(
      findings.map(({ guarantee, detail }) => `${guarantee}: ${detail}`),
      name,
    );
  }
  t.end();
});
