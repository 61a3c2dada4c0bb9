import { expect, it } from 'vitest';

import { parseServiceUrl } from './service-client.js';

it.each([
  ['http://service', { host: 'service', port: 80, authority: 'service', basePath: '' }],
  ['https://service/base/', { host: 'service', port: 443, isSecure: true, basePath: '/base' }],
  ['http://127.0.0.1:8080', { host: '127.0.0.1', port: 8080, isSecure: false }],
  ['http://[::1]:8080/', { host: '::1', port: 8080, authority: '[::1]:8080', basePath: '' }],
])('decodes the URL %s', (url, expected) => {
  expect(parseServiceUrl(url)).toMatchObject(expected);
});

it('rejects an invalid URL', () => {
  expect(() => parseServiceUrl('service')).toThrow();
});
