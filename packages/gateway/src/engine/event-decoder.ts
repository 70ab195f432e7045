import {AttemptId} from '@radishgw/core';
import {createParser, EventSourceParser} from 'eventsource-parser';

/** One event of an engine's response. */
export interface EngineEvent {
  /** Position in the response, from 1; an engine uses each number for one event only. */
  readonly sequence: number;
  /** JSON text of an OpenAI chunk, or `[DONE]`. */
  readonly data: string;
}

/** Thrown for engine output that is not a valid stream of numbered events. */
export class EventFormatError extends Error {}

const SEQUENCE_PATTERN = /^[1-9]\d{0,14}$/;

/**
 * Decodes the server-sent events of one connection. The id of each event is
 * `<attempt id>:<sequence>`. Events of other attempts are dropped, because a late or misdirected
 * response must not reach this caller. Throws {@link EventFormatError} for any other input.
 */
export class EventDecoder {
  private readonly textDecoder = new TextDecoder();
  private readonly prefix: string;
  private readonly parser: EventSourceParser;
  private error: EventFormatError | undefined;

  constructor(
    attemptId: AttemptId,
    private readonly onEvent: (event: EngineEvent) => void,
    maxEventBytes: number,
  ) {
    this.prefix = `${attemptId}:`;
    this.parser = createParser({
      maxBufferSize: maxEventBytes,
      onEvent: ({id, data}) => this.accept(id, data),
      onError: error => {
        if (error.type === 'max-buffer-size-exceeded') {
          this.error ??= new EventFormatError(`event exceeds ${maxEventBytes} bytes`);
        }
      },
    });
  }

  /** Decodes received bytes; events are delivered as soon as they are complete. */
  feed(chunk: Uint8Array): void {
    this.parser.feed(this.textDecoder.decode(chunk, {stream: true}));
    if (this.error) throw this.error;
  }

  private accept(id: string | undefined, data: string): void {
    if (this.error) return;
    if (!id?.startsWith(this.prefix)) {
      // An event without an attempt id is an error; one of another attempt is dropped.
      if (!id?.includes(':')) this.error = new EventFormatError(`event id "${id}" has no attempt`);
      return;
    }
    const sequence = id.slice(this.prefix.length);
    if (!SEQUENCE_PATTERN.test(sequence)) {
      this.error = new EventFormatError(`event number "${sequence}" is not a positive integer`);
      return;
    }
    this.onEvent({sequence: Number(sequence), data});
  }
}
