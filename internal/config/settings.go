// Package config reads and checks the configuration of a gateway or a publisher and sets defaults. It also decodes the
// configuration documents that publishers distribute. Errors name the key at fault.
package config

import (
	"fmt"
	"time"

	"ravensill/gateway"
)

// Settings are the settings that all gateways of a deployment share, except for the gateway's own member index and zone
// in Membership.
type Settings struct {
	Membership gateway.Membership
	Classes    []gateway.RequestClass
	Plans      []gateway.Plan
	Limits     gateway.Limits
	SlowStart  gateway.SlowStart
	LoadReport gateway.LoadReportFormat

	ClassNames  []string // names of Classes, by the same index
	PlanNames   []string // names of Plans, by the same index
	ReportNames []string // names of LoadReport.Fields, by the same index
	Zones       []string // names of the zones, by zone index
	Machines    []string // names of machine types, by index

	ConnIdle       time.Duration // time after which an unused connection to a host is closed
	ConnectTimeout time.Duration // longest time to establish a connection to a host

	// EqualWeights means that the weights in the endpoint list are momentary load figures, which say nothing about the
	// size of a host. All hosts get the same weight.
	EqualWeights bool

	Adjusted []Adjustment // settings that take effect with another meaning than written
}

// DecodeSettings decodes the JSON object that the file has under the key settings, and adjusts contradicting settings.
// Unlike Load it accepts incomplete request classes and plans, and leaves timeouts of connections to hosts at zero if
// they are not set. An error about one key is a *KeyError.
func DecodeSettings(text string) (*Settings, error) {
	reader, err := newObjectReader("", text)
	if err != nil {
		return nil, err
	}
	return reader.settings()
}

// settings reads the object as the settings and adjusts them.
func (r *objectReader) settings() (*Settings, error) {
	s := &Settings{}
	r.eachObject("profiles", func(item *objectReader) {
		class, name := item.requestClass()
		s.Classes = append(s.Classes, class)
		s.ClassNames = append(s.ClassNames, name)
	})
	var planAdjustments []Adjustment
	r.eachObject("plans", func(item *objectReader) {
		plan, name, adjusted := item.plan()
		s.Plans = append(s.Plans, plan)
		s.PlanNames = append(s.PlanNames, name)
		planAdjustments = append(planAdjustments, adjusted...)
	})
	s.Membership = r.membership()
	s.Limits = r.limits()
	s.SlowStart = r.slowStart()
	s.ReportNames = r.texts("report.names")
	s.LoadReport = r.loadReport(s.ReportNames)
	s.Zones = r.texts("zones")
	s.Machines = r.texts("skus")
	s.EqualWeights = r.choice("weights", "off", "nominal", "rough", "live") == "live"
	s.ConnIdle = r.microseconds("limits.conn_idle_us")
	s.ConnectTimeout = r.microseconds("limits.connect_timeout_us")
	if s.Membership.Count < 1 || s.Membership.Index >= s.Membership.Count {
		r.fail("position", fmt.Errorf("%d is not below balancers", s.Membership.Index))
	}
	s.resolveConflicts(r, planAdjustments)
	return s, r.err
}

func (r *objectReader) membership() gateway.Membership {
	return gateway.Membership{
		Index:       r.integer("position"),
		Count:       r.integer("balancers"),
		Zone:        r.integer("locality"),
		Gossip:      r.boolean("limits.peer_messages"),
		MessageRate: r.number("family_info.mail_per_s"),
	}
}

func (r *objectReader) limits() gateway.Limits {
	return gateway.Limits{
		MaxAttempts:    r.integer("limits.max_attempts"),
		Hedging:        r.boolean("limits.parallel_tries"),
		Cancellation:   r.boolean("limits.cancelling"),
		Probes:         r.boolean("limits.probes"),
		RetryAfter:     r.boolean("limits.retry_after"),
		MaxRetryAfter:  r.microseconds("limits.max_retry_after_us"),
		PollEndpoints:  r.choice("membership_mode", "pushed", "on_request") == "on_request",
		SettlesUnits:   r.boolean("family_info.settles"),
		SharedCounter:  r.boolean("family_info.shared_counter"),
		CounterTimeout: r.microseconds("family_info.count_wait_us"),
	}
}

func (r *objectReader) slowStart() gateway.SlowStart {
	return gateway.SlowStart{
		InitialFraction: r.number("rules.start_capacity"),
		Duration:        r.microseconds("rules.warm_up_us"),
		OverloadFactor:  r.number("rules.fall_multiple"),
		OverloadWindow:  r.microseconds("rules.fall_us"),
	}
}

func (r *objectReader) loadReport(names []string) gateway.LoadReportFormat {
	how := r.choice("report.how", "off", "inline", "on_probe")
	format := gateway.LoadReportFormat{WithAnswers: how == "inline", WithProbes: how == "on_probe"}
	for _, name := range names {
		format.Fields = append(format.Fields, loadField(name))
	}
	return format
}

// loadFields maps names in the settings to fields of a load report. Other names mean gateway.OtherField.
var loadFields = map[string]gateway.LoadField{
	"outstanding":  gateway.OutstandingRequests,
	"backlog":      gateway.QueuedRequests,
	"utilization":  gateway.Utilization,
	"recent_ms":    gateway.RecentServiceTime,
	"throughput":   gateway.Throughput,
	"errors_per_s": gateway.ErrorRate,
}

func loadField(name string) gateway.LoadField {
	if field, known := loadFields[name]; known {
		return field
	}
	return gateway.OtherField
}
