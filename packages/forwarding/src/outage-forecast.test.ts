import fc from 'fast-check';
import { expect, it } from 'vitest';

import { createOutageForecast } from './outage-forecast.js';

it('returns a low probability for a new outage, and a higher one after some seconds', () => {
  const { chanceOfEnd } = createOutageForecast();
  expect(chanceOfEnd(0, 1700)).toBeLessThan(0.2);
  expect(chanceOfEnd(2000, 1700)).toBeGreaterThan(1 / 3);
  expect(chanceOfEnd(4500, 1700)).toBeGreaterThan(chanceOfEnd(500, 1700));
});

it('learns that outages are long, so that callers are not held in vain at their start', () => {
  // Ranks take five seconds to restart. Callers that are held for most of two seconds from the
  // start of an outage would always be refused in the end.
  const forecast = createOutageForecast();
  for (let outage = 0; outage < 6; outage += 1) forecast.recordOutage(5000);
  expect(forecast.chanceOfEnd(200, 1700)).toBeLessThan(0.2);
  expect(forecast.chanceOfEnd(3600, 1700)).toBeGreaterThan(0.7);
});

it('learns that outages are short', () => {
  const forecast = createOutageForecast();
  for (let outage = 0; outage < 6; outage += 1) forecast.recordOutage(700);
  expect(forecast.chanceOfEnd(0, 1700)).toBeGreaterThan(0.6);
});

it('forgets old outages', () => {
  const forecast = createOutageForecast();
  for (let outage = 0; outage < 20; outage += 1) forecast.recordOutage(9000);
  for (let outage = 0; outage < 16; outage += 1) forecast.recordOutage(700);
  expect(forecast.chanceOfEnd(0, 1700)).toBeGreaterThan(0.7);
});

it('returns a probability for any recorded outages, which grows with the time', () => {
  const length = fc.integer({ min: 0, max: 60_000 });
  fc.assert(
    fc.property(fc.array(length), length, length, length, (seen, age, within, more) => {
      const forecast = createOutageForecast();
      for (const milliseconds of seen) forecast.recordOutage(milliseconds);
      const chance = forecast.chanceOfEnd(age, within);
      expect(chance).toBeGreaterThanOrEqual(0);
      expect(chance).toBeLessThanOrEqual(1);
      expect(forecast.chanceOfEnd(age, within + more)).toBeGreaterThanOrEqual(chance);
    }),
  );
  expect(createOutageForecast().chanceOfEnd(Infinity, 1000)).toBe(0.5);
});

it('always returns a time by which an outage is likely to have ended', () => {
  const forecast = createOutageForecast();
  expect(forecast.likelyEndMilliseconds(0)).toBeGreaterThan(2500);
  for (let outage = 0; outage < 12; outage += 1) forecast.recordOutage(1200);
  expect(forecast.likelyEndMilliseconds(0)).toBeLessThanOrEqual(1300);
  expect(forecast.likelyEndMilliseconds(Infinity)).toBeGreaterThan(0);
  expect(forecast.likelyEndMilliseconds(3_600_000)).toBeLessThanOrEqual(30_000);
});
