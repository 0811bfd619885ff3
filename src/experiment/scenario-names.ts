/**
 * Names that hold for every tree, so that one scenario runs on both users' sites: `main` is the service with the most
 * back ends, `second` the next; `main-04` its fourth back end; `zone-2` the second zone; `zone-2-1` its first balancer.
 */
import type { EffectiveBackend, EffectiveService } from '../settings/index.js';
import { ExperimentError } from './errors.js';
import type { Action } from './scenario-actions.js';
import type { Scenario } from './scenario.js';
import { shortName, type SiteTemplate } from './site-template.js';

const SERVICE_ALIASES = ['main', 'second'];

/** Resolves the names of a scenario on one site. */
export class ScenarioNames {
  private readonly servicesBySize: readonly EffectiveService[];

  constructor(private readonly site: SiteTemplate) {
    this.servicesBySize = [...site.settings.services].sort(
      (left, right) => right.backends.length - left.backends.length,
    );
  }

  /** The service of that alias or node name. */
  service(name: string): EffectiveService {
    const index = SERVICE_ALIASES.indexOf(name);
    const found = index >= 0 ? this.servicesBySize[index] : this.serviceNamed(name);
    if (found) return found;
    throw unknownName('service', name);
  }

  /** The back end of that alias or node name. */
  backend(name: string): EffectiveBackend {
    const alias = /^(main|second)-(\d+)$/.exec(name);
    const found = alias
      ? this.backendsOf(this.service(alias[1]!))[Number(alias[2]) - 1]
      : this.site.backends.find((backend) => shortName(backend.name) === name);
    if (found) return found;
    throw unknownName('back end', name);
  }

  zone(name: string): string {
    const alias = /^zone-(\d+)$/.exec(name);
    const found = alias
      ? this.site.zones[Number(alias[1]) - 1]
      : this.site.zones.find((zone) => zone === name);
    if (found) return found;
    throw unknownName('zone', name);
  }

  /** A balancer's name: `zone-2-1` becomes ZONE-1; other selectors stay. */
  balancer(selector: string): string {
    const alias = /^(zone-\d+)-(\d+)$/.exec(selector);
    if (alias) return `${this.zone(alias[1]!)}-${alias[2]}`;
    return selector.startsWith('zone:') ? `zone:${this.zone(selector.slice('zone:'.length))}` : selector;
  }

  /** Full path of a node given below the site; each part may be an alias. */
  node(node: string): string {
    if (node === '') return '';
    const [service, backend, ...rest] = node.split('/');
    if (service === this.site.site || rest.length > 0) return node;
    return backend === undefined ? this.service(service!).name : this.backend(backend).name;
  }

  /** A figure's path with the service alias at its end resolved. */
  figure(path: string): string {
    const last = path.slice(path.lastIndexOf('.') + 1);
    if (!SERVICE_ALIASES.includes(last)) return path;
    return path.slice(0, -last.length) + shortName(this.service(last).name);
  }

  /** The action with every name resolved. */
  action(action: Action): Action {
    if ('balancer' in action) return { ...action, balancer: this.balancer(action.balancer) };
    if ('backend' in action && action.backend !== 'random') {
      return { ...action, backend: shortName(this.backend(action.backend).name) };
    }
    if ('zone' in action) return { ...action, zone: this.zone(action.zone) };
    if (action.do !== 'tree-edit') return action;
    const operations = action.operations.map((operation) => ({
      ...operation,
      node: this.node(operation.node),
    }));
    return { ...action, operations };
  }

  private backendsOf(service: EffectiveService): readonly EffectiveBackend[] {
    return [...service.backends].sort((left, right) => (left.name < right.name ? -1 : 1));
  }

  private serviceNamed(name: string): EffectiveService | undefined {
    return this.site.settings.services.find((service) => shortName(service.name) === name);
  }
}

/** The scenario with every name resolved on a site; throws `experiment.invalid-scenario` for an unknown name. */
export function resolveNames(scenario: Scenario, site: SiteTemplate): Scenario {
  const names = new ScenarioNames(site);
  const { topology } = scenario;
  const backendName = (name: string): string => shortName(names.backend(name).name);
  return {
    ...scenario,
    topology: {
      ...topology,
      spareBackends: topology.spareBackends.map(backendName),
      backendOverrides: Object.fromEntries(
        Object.entries(topology.backendOverrides).map(([name, capacity]) => [backendName(name), capacity]),
      ),
    },
    load: scenario.load.map((load) => ({ ...load, service: shortName(names.service(load.service).name) })),
    actions: scenario.actions.map((action) => names.action(action)),
    goals: scenario.goals.map((goal) => ({ ...goal, figure: names.figure(goal.figure) })),
  };
}

function unknownName(what: string, name: string): ExperimentError {
  return new ExperimentError(
    'experiment.invalid-scenario',
    `the tree has no ${what} "${name}"`,
    'Use a name of the example tree that the scenario runs on',
  );
}
