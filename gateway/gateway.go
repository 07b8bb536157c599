// Package gateway is the interface of the decisions in package logic: the events that they are made on, the actions that they
// lead to, and their settings. Times and durations are in nanoseconds.
package gateway
