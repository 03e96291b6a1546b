import { TargetStandIn } from '../stand_in/mod.ts';

const serviceMs = Number(process.argv[2] ?? 0);
const SLOTS = 1_000;

const target = new TargetStandIn({ name: 'bench', behaviour: { serviceMs, slots: SLOTS } });
await target.listen();
process.stdout.write(`${target.port}\n`);
