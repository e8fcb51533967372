/** Is that more than half of all controllers, ourselves included? */
export function isMajority(votes: number, controllers: number): boolean {
  return votes * 2 > controllers;
}
