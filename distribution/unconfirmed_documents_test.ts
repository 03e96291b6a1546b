import t from 'tap';
import { DocumentKind, DocumentStore } from '../configuration/mod.ts';
import { MemoryLog } from '../event_log/mod.ts';
import { FakePlatform, makeExampleConfiguration } from '../fakes/mod.ts';
import { Fleet } from '../instance/mod.ts';
import { FrameKind, type Frame, type PeerLink } from '../link/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { DocumentDistributor, WatcherRoster } from './mod.ts';

const VERSION = 430;
/** Versions that a subscriber names. */
const SUBSCRIBERS = {
  'a daemon without a document': 0,
  'a daemon with an unconfirmed document': 1,
  'a daemon with the version before': VERSION - 2,
};

/** Lists the documents that a daemon sends to subscribers, and the versions that it asks peers for. */
function describeFrames(isUnconfirmed: boolean): string[] {
  const timer = new VirtualTimer();
  const store = new DocumentStore({ onConfiguration: () => undefined, onFleet: () => undefined });
  const configuration = makeExampleConfiguration({ version: VERSION });
  const text = JSON.stringify(configuration);
  const document = DocumentKind.Configuration;
  store.offer({ document, version: VERSION, base: 0, baseDigest: '', text, isUnconfirmed });
  const getFleet = () => new Fleet(0, []);
  const place = { instanceId: 'a', failureDomain: 'centro-a' };
  const distributor = new DocumentDistributor({
    timer,
    log: new MemoryLog(10),
    random: new SeededRandom(1),
    store,
    platform: new FakePlatform(timer, configuration),
    failureDomain: place.failureDomain,
    getFleet,
    roster: new WatcherRoster({ ...place, timer, getFleet }),
    openLink: () => Promise.resolve(undefined),
  });
  const frames: Frame[] = [];
  const link = {
    peer: { instanceId: 'b' },
    isOpen: true,
    sendFrame: (frame: Frame) => frames.push(frame),
  } as unknown as PeerLink;
  const seen = Object.entries(SUBSCRIBERS).map(([name, version]) => {
    frames.length = 0;
    const subscribe = { kind: FrameKind.Subscribe, follow: false, fleet: 0 } as const;
    distributor.handleFrame(link, { ...subscribe, configuration: version });
    const sent = frames.some(({ kind }) => kind === FrameKind.Document);
    return `${name} gets ${sent ? 'the document' : 'none'}`;
  });
  frames.length = 0;
  distributor.requestUpdates(link);
  const [asked] = frames;
  const version = asked?.kind === FrameKind.Subscribe ? asked.configuration : 'none';
  return [...seen, `it asks for versions after ${version}`];
}

void t.test('an unconfirmed document is sent only to a daemon that has none', (t) => {
  t.matchSnapshot(describeFrames(true), 'unconfirmed');
  t.matchSnapshot(describeFrames(false), 'confirmed');
  t.end();
});
