/** Why a server cannot accept connections. */
export interface ListenError {
  detail: string;
}
