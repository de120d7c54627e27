/**
 * Runs a workload of many sessions under a random schedule of faults, and checks its history.
 */
import { SeededRandom } from '@gladespool/coordination';
import type { DeploymentShape } from '../embedded/shape.js';
import { Deployment, until } from '../embedded/deployment.js';
import type { SettingsOverride } from '../embedded/deployment.js';
import type { HistorySummary, Violations } from '../history/check-history.js';
import { checkHistory, summarize } from '../history/check-history.js';
import type { FinalRows, HistoryEvent } from '../history/history.js';
import { SessionWorkload } from '../load/session-workload.js';
import type { FaultKind } from './fault-schedule.js';
import { FaultSchedule } from './fault-schedule.js';

/** Options of a chaos run. */
export interface ChaosOptions {
  readonly shape: DeploymentShape;
  readonly seed: number;
  readonly sessions: number;
  /** Requests after which the load stops. */
  readonly requests: number;
  /** Time between steps of the fault schedule, in milliseconds. */
  readonly stepMs: number;
  readonly deadlineMs: number;
  readonly kinds?: readonly FaultKind[];
  readonly settings?: SettingsOverride;
  readonly acknowledgement?: string;
}

/** Result of a chaos run. */
export interface ChaosResult {
  readonly summary: HistorySummary;
  readonly violations: Violations;
  readonly unanswered: number;
  readonly faults: ReadonlyMap<FaultKind, number>;
  readonly promotions: number;
}

/** Runs the workload under faults, heals all faults, waits until the logs agree, and checks the history. */
export async function runChaos(options: ChaosOptions): Promise<ChaosResult> {
  const { shape, seed, settings, acknowledgement } = options;
  const deployment = new Deployment({
    shape,
    seed,
    basePort: 0,
    latency: false,
    ...(settings === undefined ? {} : { settings }),
    ...(acknowledgement === undefined ? {} : { acknowledgement }),
  });
  await deployment.start();
  const events: HistoryEvent[] = [];
  const random = new SeededRandom(seed);
  const schedule = new FaultSchedule(deployment, random, options.kinds);
  const stopped = (): boolean => events.length >= options.requests;
  const sessions = createSessions(options, deployment, events);
  const load = Promise.all(sessions.map((session) => session.run(stopped)));
  while (!stopped()) {
    await new Promise((resolve) => setTimeout(resolve, options.stepMs));
    await schedule.step();
  }
  await load;
  await schedule.healAll();
  await until(() => logsAgree(deployment));
  const violations = checkHistory(events, finalRows(deployment));
  const promotions = totalPromotions(deployment);
  await deployment.stop();
  return {
    summary: summarize(events, violations),
    violations,
    unanswered: sessions.reduce((sum, session) => sum + session.unanswered, 0),
    faults: schedule.counts,
    promotions,
  };
}

function createSessions(
  options: ChaosOptions,
  deployment: Deployment,
  events: HistoryEvent[],
): readonly SessionWorkload[] {
  const { groups } = options.shape;
  return Array.from({ length: options.sessions }, (_, index) => {
    return new SessionWorkload({
      name: `s${index}`,
      group: groups[index % groups.length] ?? '',
      ports: () => deployment.hosts.map((host) => host.callers.port),
      random: new SeededRandom(options.seed * 1000 + index),
      deadlineMs: options.deadlineMs,
      record: (event) => {
        events.push(event);
      },
    });
  });
}

/** Whether in each group all upstreams have logs of equal length and term, and exactly one accepts writes. */
function logsAgree(deployment: Deployment): boolean {
  return deployment.options.shape.groups.every((group) => {
    const nodes = deployment.upstreamsOf(group).map((server) => server.node);
    const lengths = new Set(nodes.map((node) => node.entries.length));
    const terms = new Set(nodes.map((node) => node.report().received.term));
    const primaries = nodes.filter((node) => node.canWrite);
    return lengths.size === 1 && terms.size === 1 && primaries.length === 1;
  });
}

/** Keys of all rows that the log of each group's primary ever added. */
function finalRows(deployment: Deployment): FinalRows {
  const rows = new Set<string>();
  for (const group of deployment.options.shape.groups) {
    for (const entry of deployment.primaryOf(group).node.entries) {
      for (const change of entry.changes) {
        if (change.table === 'rows' && change.row !== undefined) rows.add(change.key);
      }
    }
  }
  return rows;
}

function totalPromotions(deployment: Deployment): number {
  return deployment.options.shape.groups.reduce((sum, group) => {
    return sum + deployment.primaryOf(group).node.term - 1;
  }, 0);
}
