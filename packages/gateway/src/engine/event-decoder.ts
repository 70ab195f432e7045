import {AttemptId} from '@radishgw/core';
import {createParser, EventSourceParser} from 'eventsource-parser';

/** One event of an engine's answer. */
export interface EngineEvent {
  /** Position in the answer, from 1; an engine numbers each event once. */
  readonly sequence: number;
  /** JSON text of an OpenAI chunk, or `[DONE]`. */
  readonly data: string;
}

/** Input from an engine that isn't a stream of numbered events. */
export class EventFormatError extends Error {}

const SEQUENCE_PATTERN = /^[1-9]\d{0,14}$/;

/**
 * Decodes one connection's server-sent events. The id of each event is `<attempt id>:<sequence>`;
 * events of another attempt are dropped, because a late or misdirected answer must not reach this
 * caller. Throws {@link EventFormatError} on anything else.
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

  /** Adds bytes as they came; events are given as soon as they are whole. */
  feed(chunk: Uint8Array): void {
    this.parser.feed(this.textDecoder.decode(chunk, {stream: true}));
    if (this.error) throw this.error;
  }

  private accept(id: string | undefined, data: string): void {
    if (this.error) return;
    if (!id?.startsWith(this.prefix)) {
      // An event without any attempt id can't be matched to a request; one of another is dropped.
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
