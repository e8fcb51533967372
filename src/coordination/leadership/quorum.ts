/** Returns true if `votes` is more than half of `controllerCount`, which includes this controller. */
export function isMajority(votes: number, controllerCount: number): boolean {
  return votes * 2 > controllerCount;
}
