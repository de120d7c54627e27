/**
 * Client of the platform's host list. The list is updated with a delay: it hints at where peers may
 * be found, but is no evidence that a host is alive.
 */
import type { AzId, GladespoolError, HostId } from '@gladespool/coordination';
import { azId, gladespoolError, hostId, Step } from '@gladespool/coordination';
import { portSchema } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Agent } from 'undici';
import { request } from 'undici';
import * as z from 'zod';
import type { Dial } from './dialed-agent.js';
import { dialedAgent } from './dialed-agent.js';
import { timeLimited } from './time-limited.js';

/** Entry of the platform's host list. */
export interface ListedHost {
  readonly host: HostId;
  readonly az: AzId;
  readonly address: string;
  /** Port for connections from other hosts. */
  readonly port: number;
  readonly leaving: boolean;
}

/** The host list as far as it can be read. */
export interface HostListReading {
  readonly hosts: readonly ListedHost[];
  /** Places of the entries that were left out, with the reason of each. */
  readonly unreadable: readonly string[];
}

/** Source of the platform's host list. */
export interface HostList {
  list(): Promise<Result<HostListReading, GladespoolError>>;
}

/** Response to `GET /v1/hosts`. Entries are read one by one, so that an unreadable one hides no others. */
const hostListSchema = z.object({ hosts: z.array(z.unknown()) });

const entrySchema = z.object({
  host: z.string().min(1),
  az: z.string().min(1),
  address: z.string().min(1),
  port: portSchema,
  state: z.enum(['live', 'leaving']),
});

/** Options of a host list client. */
export interface HostListOptions {
  readonly address: string;
  readonly port: number;
  readonly timeoutMs: number;
  readonly dial: Dial;
}

/** Host list client over HTTP and JSON. */
export class HttpHostList implements HostList {
  private readonly agent: Agent;

  constructor(private readonly options: HostListOptions) {
    this.agent = dialedAgent({ ...options, connections: 1 });
  }

  async list(): Promise<Result<HostListReading, GladespoolError>> {
    const { address, port, timeoutMs } = this.options;
    try {
      const response = await timeLimited(timeoutMs, async (signal) => {
        const httpResponse = await request(`http://${address}:${port}/v1/hosts`, {
          dispatcher: this.agent,
          signal,
        });
        return httpResponse.body.json();
      });
      return ok(readEntries(hostListSchema.parse(response).hosts));
    } catch (cause) {
      const context = { step: Step.HostList, peer: `${address}:${port}` };
      return err(gladespoolError(context, 'host list could not be read', { cause }));
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

function readEntries(entries: readonly unknown[]): HostListReading {
  const hosts: ListedHost[] = [];
  const unreadable: string[] = [];
  for (const [index, entry] of entries.entries()) {
    const parsed = entrySchema.safeParse(entry);
    if (parsed.success) hosts.push(toListedHost(parsed.data));
    else unreadable.push(placeOf(index, parsed.error));
  }
  return { hosts, unreadable };
}

function toListedHost(entry: z.output<typeof entrySchema>): ListedHost {
  const { host, az, address, port, state } = entry;
  return { host: hostId(host), az: azId(az), address, port, leaving: state === 'leaving' };
}

/** Path of the first invalid field and the reason, without values of the entry. */
function placeOf(index: number, { issues: [issue] }: z.ZodError): string {
  const path = ['hosts', index, ...(issue?.path ?? [])].join('.');
  return `${path}: ${issue?.message ?? 'not as expected'}`;
}
