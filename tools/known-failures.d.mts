/** Entry of KNOWN-RED.txt. */
export interface KnownFailure {
  readonly title: string;
  readonly failure: string | undefined;
}

export declare function parseKnownFailures(text: string): KnownFailure[];

export declare function isKnownFailure(
  entries: readonly KnownFailure[],
  title: string,
  report: string,
): boolean;
