/** The example tree of a scenario, with the back ends' addresses replaced by those of the started stand-ins. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { formatEndpoint, type Endpoint } from '../common/types.js';
import {
  formatFault,
  parseTreeText,
  resolveSettings,
  type EffectiveBackend,
  type EffectiveService,
  type EffectiveSettings,
  type FieldValue,
  type TreeDocument,
  type TreeNode,
} from '../settings/index.js';
import { ExperimentError } from './errors.js';

const EXAMPLE_DIRECTORY = new URL('../../examples/', import.meta.url);

/** Where a started back end listens. */
export interface BackendAddresses {
  readonly endpoint: Endpoint;
  readonly health: Endpoint;
}

/** A site's example tree and what the runner needs to know of it. */
export class SiteTemplate {
  readonly site: string;
  readonly settings: EffectiveSettings;

  constructor(private readonly document: TreeDocument) {
    this.settings = resolveSettings(document, 1).unwrapOrElse((faults) => {
      throw invalidTree('the example tree', faults.map(formatFault));
    });
    this.site = this.settings.services[0]!.site;
  }

  /** Reads `examples/NAME.yaml`. */
  static load(name: string): SiteTemplate {
    const file = fileURLToPath(new URL(`${name}.yaml`, EXAMPLE_DIRECTORY));
    const tree = parseTreeText(readFileSync(file, 'utf8'));
    if (tree.isOk) return new SiteTemplate(tree.value);
    throw invalidTree(file, tree.error.map(formatFault));
  }

  get zones(): readonly string[] {
    return [...new Set(this.backends.map((backend) => backend.zone))].sort();
  }

  get backends(): readonly EffectiveBackend[] {
    return this.settings.services.flatMap((service) => service.backends);
  }

  /** The service that a back end belongs to. */
  serviceOf(backend: EffectiveBackend): EffectiveService {
    return this.settings.services.find((service) => service.backends.includes(backend))!;
  }

  /** The fields that a back end's node sets itself, with the addresses of its stand-in. */
  backendFields(path: string, addresses: BackendAddresses): Readonly<Record<string, FieldValue>> {
    const node = this.document.nodes.find((candidate) => candidate.path === path)!;
    return { ...node.fields, ...addressFields(addresses) };
  }

  /** The tree to seed: back ends without addresses are left out. */
  seedDocument(addresses: ReadonlyMap<string, BackendAddresses>): TreeDocument {
    const nodes = this.document.nodes.flatMap((node): TreeNode[] => {
      if (node.kind !== 'backend') return [node];
      const own = addresses.get(node.path);
      return own ? [{ ...node, fields: this.backendFields(node.path, own) }] : [];
    });
    return { nodes, edits: [] };
  }
}

/** Last part of a node path. */
export function shortName(path: string): string {
  return path.slice(path.lastIndexOf('/') + 1);
}

function addressFields(addresses: BackendAddresses): Readonly<Record<string, FieldValue>> {
  return {
    endpoint: formatEndpoint(addresses.endpoint),
    healthEndpoint: formatEndpoint(addresses.health),
  };
}

function invalidTree(source: string, faults: readonly string[]): ExperimentError {
  return new ExperimentError(
    'experiment.invalid-scenario',
    `${source}: ${faults.join('; ')}`,
    'Correct the example tree; `sailquay config check` lists its faults',
  );
}
