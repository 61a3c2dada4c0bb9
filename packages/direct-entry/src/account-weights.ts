/**
 * Weights of client accounts by name, as the configuration in force states them.
 */
import type { Catalog, Configuration } from '@lapisbridge/catalog';

const DEFAULT_WEIGHT = 1;

function indexWeights(configuration: Configuration | undefined): ReadonlyMap<string, number> {
  const weights = new Map<string, number>();
  for (const { name, weight } of configuration?.accountsByKey?.values() ?? []) {
    if (weight !== undefined) weights.set(name, weight);
  }
  return weights;
}

export function createAccountWeights(
  catalog: Pick<Catalog, 'operatorState'>,
): (account: string) => number {
  let indexed: Configuration | undefined;
  let weights = indexWeights(indexed);
  return (account) => {
    const { configuration } = catalog.operatorState();
    if (configuration !== indexed) {
      indexed = configuration;
      weights = indexWeights(configuration);
    }
    return weights.get(account) ?? DEFAULT_WEIGHT;
  };
}
