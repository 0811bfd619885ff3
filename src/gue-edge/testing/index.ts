/**
 * What tests of the GUE edge run on: one simulated network with a pausable clock, clusters of members and of settings
 * on top of it, a simulation of health, and the flow model that the model check drives. Owns virtual time and seeded
 * faults; relies on the modules under test. No program imports from here.
 */
export { HealthSimulation, simulatedBackend, type HealthSimulationOptions } from './health-simulation.js';
export { PausableClock } from './pausable-clock.js';
export { SimulatedChannel, SimulatedNetwork } from './simulated-network.js';
