import type { BuildOptions } from 'esbuild';

export declare const bundleOptions: BuildOptions;
