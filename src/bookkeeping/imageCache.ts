/** Owns what is known of a worker's image cache: the images that it has, and those that it is fetching. */
export class ImageCache {
  /** Sizes in GB; most recently used last. */
  private readonly sizes = new Map<string, number>();
  /** Images still on their way, with their sizes in GB. */
  private readonly fetches = new Map<string, number>();

  /** The image is there or on its way. */
  includes(image: string): boolean {
    return this.sizes.has(image);
  }

  isFetching(image: string): boolean {
    return this.fetches.has(image);
  }

  /** Images that need no fetch. */
  *fetchedImages(): Iterable<string> {
    for (const image of this.sizes.keys()) if (!this.fetches.has(image)) yield image;
  }

  /** Images on their way. */
  fetchingImages(): Iterable<string> {
    return this.fetches.keys();
  }

  /** GB that are still to be fetched. */
  backlogGb(): number {
    let gb = 0;
    for (const size of this.fetches.values()) gb += size;
    return gb;
  }

  /**
   * A task uses the image. What passes the cache's limit is dropped as the worker does it: least recently used first,
   * and nothing that is in use.
   */
  use(image: string, gb: number, limitGb: number, isInUse: (image: string) => boolean): void {
    const isNew = !this.sizes.has(image);
    this.sizes.delete(image);
    this.sizes.set(image, gb);
    if (isNew) this.fetches.set(image, gb);
    let totalGb = 0;
    for (const size of this.sizes.values()) totalGb += size;
    for (const [other, size] of this.sizes) {
      if (totalGb <= limitGb || other === image) break;
      if (isInUse(other)) continue;
      this.sizes.delete(other);
      this.fetches.delete(other);
      totalGb -= size;
    }
  }

  /** The fetch is over; false when there was none. */
  finishFetch(image: string): boolean {
    return this.fetches.delete(image);
  }

  /** The worker has given the fetch up. */
  abandonFetch(image: string): void {
    if (this.fetches.delete(image)) this.sizes.delete(image);
  }
}
