// Node.js exits on SIGHUP unless a listener is registered. The settings are read after this module
// is loaded, so an earlier signal need not reload them.
process.on('SIGHUP', () => undefined);
