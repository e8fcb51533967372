/**
 * The leader's model of a worker's image cache: the cached images and those being fetched. Workers do not report their
 * images, so the model is derived from the starts sent to the worker and applies the worker's eviction policy.
 */
export class ImageCache {
  /** Sizes in GB of all cached and fetching images, least recently used first. */
  private readonly sizes = new Map<string, number>();
  /** Sizes in GB of the images that are being fetched. */
  private readonly fetches = new Map<string, number>();

  /** Whether the worker has the image or is fetching it. */
  includes(image: string): boolean {
    return this.sizes.has(image);
  }

  isFetching(image: string): boolean {
    return this.fetches.has(image);
  }

  /** Images that the worker has fetched completely. */
  *fetchedImages(): Iterable<string> {
    for (const image of this.sizes.keys()) if (!this.fetches.has(image)) yield image;
  }

  fetchingImages(): Iterable<string> {
    return this.fetches.keys();
  }

  /** Total size in GB of the images being fetched. */
  fetchBacklogGb(): number {
    let totalGb = 0;
    for (const size of this.fetches.values()) totalGb += size;
    return totalGb;
  }

  /**
   * Records that a task uses the image, which is fetched if it is not cached. While the cache exceeds its limit, images
   * that are not in use are evicted, least recently used first; the worker has the same policy.
   */
  recordUse(image: string, sizeGb: number, limitGb: number, isInUse: (image: string) => boolean): void {
    const isNew = !this.sizes.has(image);
    this.sizes.delete(image);
    this.sizes.set(image, sizeGb);
    if (isNew) this.fetches.set(image, sizeGb);
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

  /** Records that a fetch has finished; returns false if no fetch of the image was known. */
  finishFetch(image: string): boolean {
    return this.fetches.delete(image);
  }

  /** Records that the worker has abandoned a fetch and does not have the image. */
  abandonFetch(image: string): void {
    if (this.fetches.delete(image)) this.sizes.delete(image);
  }
}
