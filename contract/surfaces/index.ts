/**
 * What other programs, stored data and operators rely on, each as a value that JSON can hold. This folder is the only part
 * of the contract test that knows where the code lies: when a module moves, its import here follows; the test and the
 * recorded values stay as they are.
 */

/** Computes one surface from the code as it is. */
export type Surface = () => Promise<unknown>;

/** By the name of the recorded file in `contract/recorded`, without its ending. */
export const SURFACES: Readonly<Record<string, Surface>> = {};
