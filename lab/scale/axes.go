package scale

import "time"

// baseDeployment is the deployment that most axes and products start from. Each of its gateways has a record of every
// customer.
var baseDeployment = Deployment{
	Gateways:    16,
	Hosts:       64,
	HostGroups:  4,
	Plans:       4,
	Classes:     4,
	Customers:   64,
	RequestRate: 10,
}

// Durations of the measurement phases, in simulated time.
var (
	standardDurations = Durations{Settle: 3 * time.Second, Idle: 10 * time.Second, Load: 20 * time.Second}
	shortDurations    = Durations{Settle: 3 * time.Second, Idle: 5 * time.Second, Load: 5 * time.Second}
)

// withChange returns a copy of baseDeployment to which change has been applied.
func withChange(change func(d *Deployment)) Deployment {
	deployment := baseDeployment
	change(&deployment)
	return deployment
}

// Setters of the sizes that axes and products vary.
var (
	setGateways       = func(d *Deployment, size float64) { d.Gateways = int(size) }
	setHosts          = func(d *Deployment, size float64) { d.Hosts = int(size) }
	setHostGroups     = func(d *Deployment, size float64) { d.HostGroups = int(size) }
	setPlans          = func(d *Deployment, size float64) { d.Plans = int(size) }
	setClasses        = func(d *Deployment, size float64) { d.Classes = int(size) }
	setCustomers      = func(d *Deployment, size float64) { d.Customers = int(size) }
	setRequestRate    = func(d *Deployment, size float64) { d.RequestRate = size }
	setHostChanges    = func(d *Deployment, size float64) { d.HostChanges = size }
	setConfigChanges  = func(d *Deployment, size float64) { d.ConfigurationChanges = size }
	setRestarts       = func(d *Deployment, size float64) { d.Restarts = size }
	setRestartsAtOnce = func(d *Deployment, size float64) { d.RestartsAtOnce = int(size) }
)

// Axes returns all axes at the sizes of the full measurement. The target of an axis is the size that the operators
// expect.
func Axes() []Axis {
	axes := append(fleetAxes(), configurationAxes()...)
	axes = append(axes, loadAxes()...)
	axes = append(axes, changeAxes()...)
	return append(axes, restartAxes()...)
}

// fleetAxes returns the axes of the numbers of gateways, hosts and host groups.
func fleetAxes() []Axis {
	hostSizes := []float64{340, 1360, 5440, 21750, 87000}
	return []Axis{
		{
			Name: "gateways",
			Note: "hosts and load per gateway fixed; above some hundred gateways the attempt limit rejects some requests",
			Base: withChange(func(d *Deployment) {
				d.Customers = 16
				d.RequestRate = 2
			}),
			Set:       setGateways,
			Sizes:     []float64{24, 96, 375, 1500, 6000},
			Target:    6000,
			Durations: shortDurations,
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
			Durations: shortDurations,
		},
		{
			Name: "hosts before a fleet of 6000",
			Note: "as the axis of hosts, but each gateway uses its subset in a fleet of 6,000 gateways, of which 2 run",
			Base: withChange(func(d *Deployment) {
				d.Gateways = 2
				d.Members = 6000
				d.HostChanges = 2
			}),
			Set:       setHosts,
			Sizes:     hostSizes,
			Target:    87000,
			Durations: shortDurations,
		},
		{
			Name: "services",
			Note: "not modeled: the program has no services; hosts are listed in as many cells instead, which nothing reads",
			Base: withChange(func(d *Deployment) {
				d.Hosts = 2048
			}),
			Set:       setHostGroups,
			Sizes:     []float64{4, 16, 64, 256, 1024},
			Target:    2900,
			Durations: shortDurations,
		},
	}
}

// configurationAxes returns the axes of the numbers of quota plans and request classes.
func configurationAxes() []Axis {
	fewGateways := withChange(func(d *Deployment) { d.Gateways = 2 })
	return []Axis{
		{
			Name:      "quota plans",
			Note:      "54,000 is the required size; the operators expect 270,000 tenants",
			Base:      fewGateways,
			Set:       setPlans,
			Sizes:     []float64{250, 1000, 4000, 8000, 54000, 270000},
			Target:    270000,
			Durations: shortDurations,
		},
		{
			Name:      "request classes",
			Note:      "each class stands for a route",
			Base:      fewGateways,
			Set:       setClasses,
			Sizes:     []float64{16, 64, 256, 1024, 4096, 54000},
			Target:    54000,
			Durations: shortDurations,
		},
	}
}

// loadAxes returns the axes of the load from clients.
func loadAxes() []Axis {
	return []Axis{
		{
			Name:      "customers",
			Note:      "each of the 16 gateways has admitted a request of every customer and has a record of it",
			Base:      baseDeployment,
			Set:       setCustomers,
			Sizes:     []float64{64, 256, 1024, 4096, 16384},
			Target:    270000,
			Durations: standardDurations,
		},
		{
			Name:      "requests a second",
			Unit:      "1/s a gateway",
			Note:      "the target is an even share of 1.7 million",
			Base:      withChange(func(d *Deployment) { d.Gateways = 4 }),
			Set:       setRequestRate,
			Sizes:     []float64{4, 16, 64, 256, 1024},
			Target:    283,
			Durations: standardDurations,
		},
	}
}

// changeAxes returns the axes of changes of the host list and of the configuration.
func changeAxes() []Axis {
	return []Axis{
		{
			Name: "membership changes a second",
			Unit: "1/s",
			Note: "each changes the state of one host; the target is 14,300 restarts and failures a day",
			Base: withChange(func(d *Deployment) {
				d.Hosts = 1024
				d.RequestRate = 2
			}),
			Set:       setHostChanges,
			Sizes:     []float64{0.5, 2, 8, 32, 128},
			Target:    0.17,
			Durations: standardDurations,
		},
		{
			Name:      "configuration changes a second",
			Unit:      "1/s",
			Note:      "each restarts all gateways, as a change of the configuration file requires",
			Base:      withChange(func(d *Deployment) { d.RequestRate = 2 }),
			Set:       setConfigChanges,
			Sizes:     []float64{0.25, 1, 4, 16},
			Target:    0.23,
			Durations: standardDurations,
		},
		{
			Name: "live configuration changes a second",
			Unit: "1/s",
			Note: "each changes one quota plan by a delta of the publishers, without their connections and heartbeats",
			Base: withChange(func(d *Deployment) {
				d.RequestRate = 2
				d.Live = true
			}),
			Set:       setConfigChanges,
			Sizes:     []float64{0.25, 1, 4, 16, 64},
			Target:    0.23,
			Durations: standardDurations,
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
			Durations: shortDurations,
		},
	}
}

// restartAxes returns the axes of gateway restarts.
func restartAxes() []Axis {
	return []Axis{
		{
			Name: "restarts a second",
			Unit: "1/s in the fleet",
			Note: "each restarts one of 128 gateways; figures are means over all gateways",
			Base: withChange(func(d *Deployment) {
				d.Gateways = 128
				d.Customers = 256
				d.RequestRate = 2
			}),
			Set:       setRestarts,
			Sizes:     []float64{0.25, 1, 4, 16},
			Target:    0.17,
			Durations: standardDurations,
		},
		{
			Name: "gateways restarted at once",
			Note: "of 400 gateways; 40 are a rack, 200 a zone; " +
				"the load lasts 5 s, of which 4 s after the restart; figures are means over all gateways",
			Base: withChange(func(d *Deployment) {
				d.Gateways = 400
				d.Customers = 64
				d.RequestRate = 2
			}),
			Set:       setRestartsAtOnce,
			Sizes:     []float64{2, 10, 40, 200},
			Target:    200,
			Durations: shortDurations,
		},
	}
}
