/**
 * Flows of one shard in a hash table with linear probing over one typed array: 16 bytes a slot, grown before it is
 * four fifths full. Slots are plain numbers; any insertion or removal makes slots found earlier invalid.
 */

const WORDS_PER_SLOT = 4;
const INITIAL_SLOTS = 8;
const MAX_LOAD = 0.8;
const GROWTH = 1.5;
const TWO_POW_32 = 0x1_0000_0000;
const OCCUPIED = 0x8000_0000;
const INDEX_MASK = 0xffff;
const FLAG_SHIFT = 16;
const FLAG_MASK = 0xff;

/** State bits of a flow. */
export const FlowFlag = {
  /** Not the first choice of the shard's base, so it needs a record at the backup. */
  EXCEPTION: 1,
  /** Waits for the backup's acknowledgement; nothing has been sent to the back end. */
  PENDING: 2,
  /** The back end has answered the opening, or the flow was learned when already established. */
  ANSWERED: 4,
  CALLER_FINISHED: 8,
  BACKEND_FINISHED: 16,
  /** Both directions finished, or reset. */
  CLOSED: 32,
  /** Placed by an acting backup and not yet reported to the keeper. */
  UNREPORTED: 64,
} as const;

/** Flows by fingerprint; a value is a back end index (16 bits), flags (8 bits) and the second it was last seen. */
export class FlowTable {
  private words = new Uint32Array(INITIAL_SLOTS * WORDS_PER_SLOT);
  private slots = INITIAL_SLOTS;
  private count = 0;

  /** Flows in the table. */
  get size(): number {
    return this.count;
  }

  /** Slots; valid slot numbers are 0 to capacity - 1. */
  get capacity(): number {
    return this.slots;
  }

  /** Memory of the slots. */
  get bytes(): number {
    return this.words.byteLength;
  }

  /** Slot of a flow, or -1. */
  find(high: number, low: number): number {
    const { words, slots } = this;
    let slot = this.home(low);
    for (;;) {
      const word = slot * WORDS_PER_SLOT;
      if (words[word + 2] === 0) return -1;
      if (words[word + 1] === low && words[word] === high) return slot;
      slot = slot + 1 === slots ? 0 : slot + 1;
    }
  }

  /** Adds a flow that is not in the table and returns its slot. */
  insert(high: number, low: number, backendIndex: number, flags: number, seenSeconds: number): number {
    if (this.count + 1 > this.capacity * MAX_LOAD) this.resize(Math.ceil(this.slots * GROWTH));
    const slot = this.freeSlot(low);
    const word = slot * WORDS_PER_SLOT;
    this.words[word] = high;
    this.words[word + 1] = low;
    this.words[word + 2] = OCCUPIED | (flags << FLAG_SHIFT) | backendIndex;
    this.words[word + 3] = seenSeconds;
    this.count += 1;
    return slot;
  }

  /** Removes the flow in `slot`; a later flow may move into this slot. */
  remove(slot: number): void {
    const { words, slots } = this;
    let hole = slot;
    for (let next = this.after(hole); words[next * WORDS_PER_SLOT + 2] !== 0; next = this.after(next)) {
      const home = this.home(words[next * WORDS_PER_SLOT + 1]!);
      const distanceFromHome = (next - home + slots) % slots;
      const distanceFromHole = (next - hole + slots) % slots;
      if (distanceFromHome < distanceFromHole) continue;
      words.copyWithin(hole * WORDS_PER_SLOT, next * WORDS_PER_SLOT, (next + 1) * WORDS_PER_SLOT);
      hole = next;
    }
    words.fill(0, hole * WORDS_PER_SLOT, (hole + 1) * WORDS_PER_SLOT);
    this.count -= 1;
  }

  /** Frees memory after many removals; invalidates all slots. */
  compact(): void {
    const needed = Math.max(INITIAL_SLOTS, this.count * 2);
    if (this.capacity < needed * 4) return;
    this.resize(needed);
  }

  isOccupied(slot: number): boolean {
    return this.words[slot * WORDS_PER_SLOT + 2] !== 0;
  }

  high(slot: number): number {
    return this.words[slot * WORDS_PER_SLOT]!;
  }

  low(slot: number): number {
    return this.words[slot * WORDS_PER_SLOT + 1]!;
  }

  backendIndex(slot: number): number {
    return this.words[slot * WORDS_PER_SLOT + 2]! & INDEX_MASK;
  }

  flags(slot: number): number {
    return (this.words[slot * WORDS_PER_SLOT + 2]! >>> FLAG_SHIFT) & FLAG_MASK;
  }

  seenSeconds(slot: number): number {
    return this.words[slot * WORDS_PER_SLOT + 3]!;
  }

  hasFlag(slot: number, flag: number): boolean {
    return (this.flags(slot) & flag) !== 0;
  }

  setValue(slot: number, backendIndex: number, flags: number): void {
    this.words[slot * WORDS_PER_SLOT + 2] = OCCUPIED | (flags << FLAG_SHIFT) | backendIndex;
  }

  setFlags(slot: number, flags: number): void {
    this.setValue(slot, this.backendIndex(slot), flags);
  }

  touch(slot: number, seenSeconds: number): void {
    this.words[slot * WORDS_PER_SLOT + 3] = seenSeconds;
  }

  private freeSlot(low: number): number {
    let slot = this.home(low);
    while (this.words[slot * WORDS_PER_SLOT + 2] !== 0) slot = this.after(slot);
    return slot;
  }

  /** Slot that a flow is searched from. */
  private home(low: number): number {
    return Math.floor((low / TWO_POW_32) * this.slots);
  }

  private after(slot: number): number {
    return slot + 1 === this.slots ? 0 : slot + 1;
  }

  private resize(slots: number): void {
    const old = this.words;
    this.words = new Uint32Array(slots * WORDS_PER_SLOT);
    this.slots = slots;
    for (let word = 0; word < old.length; word += WORDS_PER_SLOT) {
      if (old[word + 2] === 0) continue;
      const target = this.freeSlot(old[word + 1]!) * WORDS_PER_SLOT;
      this.words.set(old.subarray(word, word + WORDS_PER_SLOT), target);
    }
  }
}
