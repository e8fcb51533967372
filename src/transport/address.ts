/** Splits `10.0.0.1:8080`; null-free because settings have been checked before. */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
