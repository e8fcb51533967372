/** Splits an address such as `10.0.0.1:8080` without validating it: addresses in settings have been validated. */
export function splitAddress(address: string): { host: string; port: number } {
  const colonIndex = address.lastIndexOf(":");
  return { host: address.slice(0, colonIndex), port: Number(address.slice(colonIndex + 1)) };
}
