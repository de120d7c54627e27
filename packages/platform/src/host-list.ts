/**
 * Client of the platform's host list. The list is updated with a delay: it hints at where peers may
 * be found, but is no evidence that a host is alive.
 */
import type { AzId, GladespoolError, HostId } from '@gladespool/coordination';
import { azId, gladespoolError, hostId, Step } from '@gladespool/coordination';
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

/** Source of the platform's host list. */
export interface HostList {
  list(): Promise<Result<readonly ListedHost[], GladespoolError>>;
}

/** Schema of the response to `GET /v1/hosts`. */
export const hostListSchema = z.object({
  hosts: z.array(
    z.object({
      host: z.string(),
      az: z.string(),
      address: z.string(),
      port: z.int(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
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

  async list(): Promise<Result<readonly ListedHost[], GladespoolError>> {
    const { address, port, timeoutMs } = this.options;
    try {
      const response = await timeLimited(timeoutMs, async (signal) => {
        const httpResponse = await request(`http://${address}:${port}/v1/hosts`, {
          dispatcher: this.agent,
          signal,
        });
        return httpResponse.body.json();
      });
      const hostList = hostListSchema.parse(response);
      return ok(
        hostList.hosts.map((entry) => ({
          host: hostId(entry.host),
          az: azId(entry.az),
          address: entry.address,
          port: entry.port,
          leaving: entry.state === 'leaving',
        })),
      );
    } catch (cause) {
      const context = { step: Step.HostList, peer: `${address}:${port}` };
      return err(gladespoolError(context, 'host list could not be read', { cause }));
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
