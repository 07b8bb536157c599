// Package gateway defines the types that connect the decisions (package logic) with the code that runs them: the
// events that decisions are made on, the actions that follow from them, and the settings.
//
// Several packages deal with a gateway:
//
//   - gateway (this one) has types only;
//   - logic.Gateway decides for one gateway, holds its state, and does no I/O;
//   - internal/node.Node runs one logic.Gateway on sockets;
//   - internal/program runs one Node as a process, with signals and a configuration file.
//
// internal/simwire connects many logic.Gateway to a simulator instead.
package gateway
