/** The settings in force on this balancer, as the other slices see them. */
import type { EffectiveSettings } from '../../settings/types.js';

/** Settings in force and their changes. Versions only rise. */
export interface SettingsFeed {
  /** Undefined until the first tree has been loaded. */
  current(): EffectiveSettings | undefined;
  /** Calls `listener` synchronously on each newly applied version; returns the function that ends it. */
  subscribe(listener: (settings: EffectiveSettings) => void): () => void;
}
