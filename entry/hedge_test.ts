import t from 'tap';
import { err } from 'neverthrow';
import {
  EMPTY_BODY,
  Deadline,
  FailureKind,
  RefusalReason,
  makeNotRunRefusal,
  makeUnknownRefusal,
  type AttemptResult,
  type Call,
} from '../contract/mod.ts';
import { VirtualTimer, sleep } from '../timer/mod.ts';
import { raceHedged } from './hedge.ts';

void t.test(
  'a hedged call is not refused as not run if one of its attempts may have run',
  async (t) => {
    const timer = new VirtualTimer();
    const call = {
      body: EMPTY_BODY,
      deadline: new Deadline(timer, 2_000),
      signal: new AbortController().signal,
    } as unknown as Call;
    const refused: AttemptResult = err({
      kind: FailureKind.Refused,
      refusal: makeNotRunRefusal(
        RefusalReason.VersionsDiffer,
        'the version was not applied in time',
      ),
      load: undefined,
    });
    const lost: AttemptResult = err({
      kind: FailureKind.Unknown,
      refusal: makeUnknownRefusal(RefusalReason.AnswerLost, 'reset'),
      load: undefined,
    });
    const pending = raceHedged(call, {
      timer,
      serviceMs: 10,
      sendFirst: () => sleep(timer, 500).then(() => refused),
      prepareSecond: () => () => sleep(timer, 100).then(() => lost),
    });
    await timer.advance(1_000);
    const result = await pending;
    const { kind, refusal } = result._unsafeUnwrapErr();
    t.matchSnapshot(`${kind} ${refusal.reason}`, 'result');
  },
);
