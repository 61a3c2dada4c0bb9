/** Datagrams between instances. */
export {};
