import fc from 'fast-check';
import { expect, it } from 'vitest';

import { createOutageForecast } from './outage-forecast.js';

it('gives a young outage little chance, and one of some seconds a better chance', () => {
  const { chanceOfEnd } = createOutageForecast();
  expect(chanceOfEnd(0, 1700)).toBeLessThan(0.2);
  expect(chanceOfEnd(2000, 1700)).toBeGreaterThan(1 / 3);
  expect(chanceOfEnd(4500, 1700)).toBeGreaterThan(chanceOfEnd(500, 1700));
});

it('learns that outages are long, so that callers are not kept in vain at their begin', () => {
  // A deployment whose ranks take five seconds to restart. Callers that are kept for most of two
  // seconds from the first moment have waited for nothing each time.
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

it('forgets what it saw long ago', () => {
  const forecast = createOutageForecast();
  for (let outage = 0; outage < 20; outage += 1) forecast.recordOutage(9000);
  for (let outage = 0; outage < 16; outage += 1) forecast.recordOutage(700);
  expect(forecast.chanceOfEnd(0, 1700)).toBeGreaterThan(0.7);
});

it('is a chance whatever was seen, and grows with the time', () => {
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

it('tells a time by which an outage is likely to be over, and never none', () => {
  const forecast = createOutageForecast();
  expect(forecast.likelyEndMilliseconds(0)).toBeGreaterThan(2500);
  for (let outage = 0; outage < 12; outage += 1) forecast.recordOutage(1200);
  expect(forecast.likelyEndMilliseconds(0)).toBeLessThanOrEqual(1300);
  expect(forecast.likelyEndMilliseconds(Infinity)).toBeGreaterThan(0);
  expect(forecast.likelyEndMilliseconds(3_600_000)).toBeLessThanOrEqual(30_000);
});
