/**
 * Owns the leader's model of a worker's image cache: the images that it has, and those that it is fetching. Workers send
 * no list of their images, so the model follows the starts that they get and evicts as they do.
 */
export class ImageCache {
  /** Sizes in GB; most recently used last. */
  private readonly sizes = new Map<string, number>();
  /** Images that are being fetched, with their sizes in GB. */
  private readonly fetches = new Map<string, number>();

  /** The worker has the image or is fetching it. */
  includes(image: string): boolean {
    return this.sizes.has(image);
  }

  /** The worker is fetching the image. */
  isFetching(image: string): boolean {
    return this.fetches.has(image);
  }

  /** Images that need no fetch. */
  *fetchedImages(): Iterable<string> {
    for (const image of this.sizes.keys()) if (!this.fetches.has(image)) yield image;
  }

  /** Images that are being fetched. */
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
   * A task uses the image of that size. Above the cache's limit, images are evicted as the worker does it: least recently
   * used first, and none that is in use.
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

  /** The image has been fetched; false when no fetch of it was known. */
  finishFetch(image: string): boolean {
    return this.fetches.delete(image);
  }

  /** The worker has given the fetch up, and does not have the image. */
  abandonFetch(image: string): void {
    if (this.fetches.delete(image)) this.sizes.delete(image);
  }
}
