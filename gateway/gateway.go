// Package gateway is the interface between the decisions, package logic, and whatever runs them: the events that
// they are made on, the actions that they lead to, and their settings.
//
// Four packages have a gateway in their names or comments:
//
//   - gateway (this one) has types only;
//   - logic.Gateway holds the decisions' state of one gateway and does no I/O;
//   - internal/node.Node runs one logic.Gateway on sockets;
//   - internal/program runs one Node as a process, with signals and a configuration file.
//
// internal/simwire runs many logic.Gateway on the simulator's wire instead.
package gateway
