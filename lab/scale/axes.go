package scale

import "time"

// baseDeployment is the deployment that axes start from. Its customers are known at all gateways.
var baseDeployment = Deployment{
	Gateways:    16,
	Hosts:       64,
	HostGroups:  4,
	Plans:       4,
	Classes:     4,
	Customers:   64,
	RequestRate: 10,
}

// Durations of measurements, in simulated time.
var (
	standardLengths = Durations{Settle: 3 * time.Second, Idle: 10 * time.Second, Load: 20 * time.Second}
	shortLengths    = Durations{Settle: 3 * time.Second, Idle: 5 * time.Second, Load: 5 * time.Second}
)

// withChange returns the base deployment with a change.
func withChange(change func(d *Deployment)) Deployment {
	deployment := baseDeployment
	change(&deployment)
	return deployment
}

// Setters of the sizes that axes and products vary.
var (
	setGateways      = func(d *Deployment, size float64) { d.Gateways = int(size) }
	setHosts         = func(d *Deployment, size float64) { d.Hosts = int(size) }
	setHostGroups    = func(d *Deployment, size float64) { d.HostGroups = int(size) }
	setPlans         = func(d *Deployment, size float64) { d.Plans = int(size) }
	setClasses       = func(d *Deployment, size float64) { d.Classes = int(size) }
	setCustomers     = func(d *Deployment, size float64) { d.Customers = int(size) }
	setRequestRate   = func(d *Deployment, size float64) { d.RequestRate = size }
	setHostChanges   = func(d *Deployment, size float64) { d.HostChanges = size }
	setConfigChanges = func(d *Deployment, size float64) { d.ConfigurationChanges = size }
	setRestarts      = func(d *Deployment, size float64) { d.Restarts = size }
	setAtOnce        = func(d *Deployment, size float64) { d.RestartsAtOnce = int(size) }
)

// Axes returns all axes at the sizes of the full measurement. Targets are the operators' sizes.
func Axes() []Axis {
	axes := append(fleetAxes(), configurationAxes()...)
	axes = append(axes, loadAxes()...)
	axes = append(axes, changeAxes()...)
	return append(axes, restartAxes()...)
}

// fleetAxes returns the axes of gateways and hosts.
func fleetAxes() []Axis {
	hostSizes := []float64{340, 1360, 5440, 21750, 87000}
	return []Axis{
		{
			Name: "gateways",
			Note: "requests a gateway held, hosts held: beyond some hundred gateways the limit of attempts rejects a part",
			Base: withChange(func(d *Deployment) {
				d.Customers = 16
				d.RequestRate = 2
			}),
			Set:       setGateways,
			Sizes:     []float64{24, 96, 375, 1500, 6000},
			Target:    6000,
			Durations: shortLengths,
		},
		{
			Name: "hosts",
			Note: "one host's state changes twice a second",
			Base: withChange(func(d *Deployment) {
				d.Gateways = 2
				d.HostChanges = 2
			}),
			Set:       setHosts,
			Sizes:     hostSizes,
			Target:    87000,
			Durations: shortLengths,
		},
		{
			Name: "hosts before a fleet of 6000",
			Note: "as the axis of hosts, but each gateway uses its subset among 6,000, of which 2 run",
			Base: withChange(func(d *Deployment) {
				d.Gateways = 2
				d.Members = 6000
				d.HostChanges = 2
			}),
			Set:       setHosts,
			Sizes:     hostSizes,
			Target:    87000,
			Durations: shortLengths,
		},
		{
			Name: "services",
			Note: "not modelled: the program has no services; hosts are listed in as many cells instead, which nothing reads",
			Base: withChange(func(d *Deployment) {
				d.Hosts = 2048
			}),
			Set:       setHostGroups,
			Sizes:     []float64{4, 16, 64, 256, 1024},
			Target:    2900,
			Durations: shortLengths,
		},
	}
}

// configurationAxes returns the axes of the configuration's content.
func configurationAxes() []Axis {
	fewGateways := withChange(func(d *Deployment) { d.Gateways = 2 })
	return []Axis{
		{
			Name:      "quota plans",
			Note:      "54,000 is the size asked for; the operators name 270,000 tenants",
			Base:      fewGateways,
			Set:       setPlans,
			Sizes:     []float64{250, 1000, 4000, 8000, 54000, 270000},
			Target:    270000,
			Durations: shortLengths,
		},
		{
			Name:      "request classes",
			Note:      "stand for routes",
			Base:      fewGateways,
			Set:       setClasses,
			Sizes:     []float64{16, 64, 256, 1024, 4096, 54000},
			Target:    54000,
			Durations: shortLengths,
		},
	}
}

// loadAxes returns the axes of the clients.
func loadAxes() []Axis {
	return []Axis{
		{
			Name:      "customers",
			Note:      "each is known at all 16 gateways, and each gateway admitted one request of it",
			Base:      baseDeployment,
			Set:       setCustomers,
			Sizes:     []float64{64, 256, 1024, 4096, 16384},
			Target:    270000,
			Durations: standardLengths,
		},
		{
			Name:      "requests a second",
			Unit:      "1/s a gateway",
			Note:      "the target is the even part of 1.7 million",
			Base:      withChange(func(d *Deployment) { d.Gateways = 4 }),
			Set:       setRequestRate,
			Sizes:     []float64{4, 16, 64, 256, 1024},
			Target:    283,
			Durations: standardLengths,
		},
	}
}

// changeAxes returns the axes of changes.
func changeAxes() []Axis {
	return []Axis{
		{
			Name: "membership changes a second",
			Unit: "1/s",
			Note: "one host's state each; the target is 14,300 restarts and failures a day",
			Base: withChange(func(d *Deployment) {
				d.Hosts = 1024
				d.RequestRate = 2
			}),
			Set:       setHostChanges,
			Sizes:     []float64{0.5, 2, 8, 32, 128},
			Target:    0.17,
			Durations: standardLengths,
		},
		{
			Name:      "configuration changes a second",
			Unit:      "1/s",
			Note:      "each restarts all gateways, as the program needs it",
			Base:      withChange(func(d *Deployment) { d.RequestRate = 2 }),
			Set:       setConfigChanges,
			Sizes:     []float64{0.25, 1, 4, 16},
			Target:    0.23,
			Durations: standardLengths,
		},
		{
			Name: "live configuration changes a second",
			Unit: "1/s",
			Note: "one quota plan each, as a delta of the publishers; their connections and heartbeats left out",
			Base: withChange(func(d *Deployment) {
				d.RequestRate = 2
				d.Live = true
			}),
			Set:       setConfigChanges,
			Sizes:     []float64{0.25, 1, 4, 16, 64},
			Target:    0.23,
			Durations: standardLengths,
		},
		{
			Name: "live quota plans",
			Note: "ten live changes a second",
			Base: withChange(func(d *Deployment) {
				d.Gateways = 2
				d.Live = true
				d.ConfigurationChanges = 10
			}),
			Set:       setPlans,
			Sizes:     []float64{250, 1000, 4000, 16000, 54000},
			Target:    54000,
			Durations: shortLengths,
		},
	}
}

// restartAxes returns the axes of restarts.
func restartAxes() []Axis {
	return []Axis{
		{
			Name: "restarts a second",
			Unit: "1/s in the fleet",
			Note: "of one of 128 gateways each; figures are means of all gateways",
			Base: withChange(func(d *Deployment) {
				d.Gateways = 128
				d.Customers = 256
				d.RequestRate = 2
			}),
			Set:       setRestarts,
			Sizes:     []float64{0.25, 1, 4, 16},
			Target:    0.17,
			Durations: standardLengths,
		},
		{
			Name: "gateways restarted at once",
			Note: "of 400; 40 are a rack, 200 a zone; " +
				"under load are 5 s, of which 4 after the restart, means of all gateways",
			Base: withChange(func(d *Deployment) {
				d.Gateways = 400
				d.Customers = 64
				d.RequestRate = 2
			}),
			Set:       setAtOnce,
			Sizes:     []float64{2, 10, 40, 200},
			Target:    200,
			Durations: shortLengths,
		},
	}
}
