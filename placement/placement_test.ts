import t from 'tap';
import { Repeatability, TargetStage, type Route } from '../contract/mod.ts';
import { DomainState, Topology, HomeRegions } from '../failure_domain/mod.ts';
import { Fleet, InstanceStage, type Instance } from '../instance/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { PickerKind, Placement, TargetViews, makePicker } from './mod.ts';

const topology = new Topology([
  { name: 'centro-a', region: 'ar-centro', state: DomainState.InService },
  { name: 'centro-b', region: 'ar-centro', state: DomainState.InService },
  { name: 'norte-a', region: 'ar-norte', state: DomainState.InService },
  { name: 'norte-b', region: 'ar-norte', state: DomainState.OutOfService },
]);

const route: Route = {
  name: 'read-board',
  workspace: 'plata',
  methods: ['GET'],
  path: '/boards',
  pools: [{ pool: 'boards', weight: 1 }],
  repeatability: Repeatability.Idempotent,
  homeRegions: HomeRegions.ANYWHERE,
  weight: 1,
  timeoutMs: 1_000,
  objectiveMs: 1_000,
  maxAttempts: 4,
  bodyLimitBytes: 1_024,
  quarantine: false,
  hedge: false,
};

function makeInstance(failureDomain: string, stage = InstanceStage.Live): Instance {
  const id = `boards-${failureDomain}`;
  return { id, pool: 'boards', failureDomain, peerAddress: '', callerAddress: '', stage };
}

function chooseSixTimes(
  kind: PickerKind,
  options: { route?: Route; excluded?: string[] } = {},
): string[] {
  const timer = new VirtualTimer();
  const targetViews = new TargetViews(timer);
  const picker = makePicker(kind, new SeededRandom(11));
  const placement = new Placement('centro-a', targetViews, picker);
  const fleet = new Fleet(
    1,
    ['centro-a', 'centro-b', 'norte-a', 'norte-b'].map((name) => makeInstance(name)),
  );
  const excluded = new Set(options.excluded ?? []);
  return Array.from({ length: 6 }, () => {
    const chosen = placement.choose(options.route ?? route, 'boards', {
      fleet,
      topology,
      excluded,
    });
    if (chosen.isErr()) return `${chosen.error.reason}: ${chosen.error.detail}`;
    chosen.value.candidate.view.beginAttempt();
    return `${chosen.value.instance.id} ${chosen.value.reason}`;
  });
}

void t.test('placement.choose() never chooses a failure domain that is out of service', (t) => {
  for (const kind of Object.values(PickerKind)) t.matchSnapshot(chooseSixTimes(kind), kind);
  t.end();
});

void t.test('placement.choose() chooses only targets in the home regions', (t) => {
  const homeRegions = HomeRegions.of(['ar-norte']);
  const restricted = { ...route, homeRegions };
  t.matchSnapshot(
    chooseSixTimes(PickerKind.ExpectedCost, { route: restricted }),
    'restricted to ar-norte',
  );
  t.end();
});

void t.test('placement.choose() refuses when every target has been tried', (t) => {
  const excluded = ['boards-centro-a', 'boards-centro-b', 'boards-norte-a'];
  t.matchSnapshot(chooseSixTimes(PickerKind.ExpectedCost, { excluded }).slice(0, 1), 'refusal');
  t.end();
});

void t.test(
  'expected cost picker chooses another region only when the wait exceeds the round trip',
  (t) => {
    const timer = new VirtualTimer();
    const targetViews = new TargetViews(timer);
    const picker = makePicker(PickerKind.ExpectedCost, new SeededRandom(3));
    const placement = new Placement('centro-a', targetViews, picker);
    const fleet = new Fleet(1, [makeInstance('centro-a'), makeInstance('norte-a')]);
    const seen = [0, 5, 10, 20, 40].map((queued) => {
      const load = { inFlight: 6, limit: 6, queued, serviceMs: 20, stage: TargetStage.Warm };
      targetViews.get('boards-centro-a').recordLoad(load, 21);
      const chosen = placement.choose(route, 'boards', {
        fleet,
        topology,
        excluded: new Set(),
      });
      return `queued=${queued} choice=${chosen.map(({ instance }) => instance.id).unwrapOr('none')}`;
    });
    t.matchSnapshot(seen, 'choices by queue length');
    t.end();
  },
);
