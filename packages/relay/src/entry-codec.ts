/** Translates the questions about an entry host itself. */
export interface EntryCodec {
  /** Whether a path asks if the host takes requests. */
  isReadinessPath(path: string): boolean;
  /** Whether a path asks which hosts to use. */
  isDirectoryPath(path: string): boolean;
  /** Body of the answer that names the hosts to use. */
  writeDirectory(addresses: readonly string[], ttlMs: number): string;
}
