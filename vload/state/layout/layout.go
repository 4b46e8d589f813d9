// Package layout describes a deployment: its services, instances, zones and addresses.
package layout

import (
	"fmt"

	"verbenabank/vload/state/server"
)

// Ports of the processes of one instance. All instances use the same ports, each on its own address.
const (
	CallersPort = 8080 // daemon, requests of callers
	PeersPort   = 8090 // daemon, traffic between daemons
	AdminPort   = 8070 // daemon, admin API for the target and operators
	TargetPort  = 9000 // target
)

// Service is one service of a deployment. It is immutable.
type Service struct {
	name      string
	targets   int
	keyed     bool
	keyHeader string
	behavior  server.Behavior
}

// NewService returns a service with a number of targets that all have the same behavior. Its keys are
// taken from the path until WithKeyHeader is called.
func NewService(name string, targets int, keyed bool, behavior server.Behavior) Service {
	return Service{name: name, targets: targets, keyed: keyed, behavior: behavior}
}

// WithKeyHeader returns a copy of the service that takes its keys from a request header.
func (s Service) WithKeyHeader(name string) Service {
	s.keyHeader = name
	return s
}

// KeyHeader returns the name of the request header that carries the key, "" if the key is in the path.
func (s Service) KeyHeader() string { return s.keyHeader }

// Name returns the name of the service, which is also the first segment of its paths.
func (s Service) Name() string { return s.name }

// Keyed reports whether each key of the service has one owner.
func (s Service) Keyed() bool { return s.keyed }

// Behavior returns how its targets behave.
func (s Service) Behavior() server.Behavior { return s.behavior }

// Layout describes one deployment. It is immutable.
type Layout struct {
	zones               []string
	services            []Service
	replicas            []string
	configurationFolder string
	subnet              int
}

// New returns a layout. The replicas are the names of the instances whose daemons are control replicas;
// configurationFolder is the path of the configuration folder.
func New(zones []string, services []Service, replicas []string, configurationFolder string) Layout {
	return Layout{zones: zones, services: services, replicas: replicas, configurationFolder: configurationFolder}
}

// WithSubnet returns a copy of the layout with the addresses 127.subnet.zone.n, so that several fleets can
// run on one machine.
func (l Layout) WithSubnet(subnet int) Layout {
	l.subnet = subnet
	return l
}

// Services returns the services in the order of the layout. The caller must not change them.
func (l Layout) Services() []Service { return l.services }

// Service returns the service with that name, and false if there is none.
func (l Layout) Service(name string) (Service, bool) {
	for _, s := range l.services {
		if s.name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Replicas returns the names of the instances whose daemons are control replicas.
func (l Layout) Replicas() []string { return l.replicas }

// ConfigurationFolder returns the path of the configuration folder.
func (l Layout) ConfigurationFolder() string { return l.configurationFolder }

// Instance is one target with its local daemon. It is immutable.
type Instance struct {
	name    string
	zone    string
	host    string
	service Service
}

// Name returns the name of the instance: that of its service with a number from 1.
func (i Instance) Name() string { return i.name }

// Zone returns the availability zone of the instance.
func (i Instance) Zone() string { return i.zone }

// Service returns the service of its target.
func (i Instance) Service() Service { return i.service }

// CallersAddress returns the address at which the daemon takes requests of callers.
func (i Instance) CallersAddress() string { return fmt.Sprintf("%s:%d", i.host, CallersPort) }

// PeersAddress returns the address at which the daemon takes connections of other daemons.
func (i Instance) PeersAddress() string { return fmt.Sprintf("%s:%d", i.host, PeersPort) }

// AdminAddress returns the address of the daemon's admin API, at which the target registers.
func (i Instance) AdminAddress() string { return fmt.Sprintf("%s:%d", i.host, AdminPort) }

// TargetAddress returns the address at which the target takes requests.
func (i Instance) TargetAddress() string { return fmt.Sprintf("%s:%d", i.host, TargetPort) }

// Instances returns the instances in the order of the services, assigned to the zones round-robin.
func (l Layout) Instances() []Instance {
	var list []Instance
	for _, s := range l.services {
		for n := range s.targets {
			zone, order := len(list)%len(l.zones), len(list)/len(l.zones)
			list = append(list, Instance{
				name:    fmt.Sprintf("%s-%d", s.name, n+1),
				zone:    l.zones[zone],
				host:    fmt.Sprintf("127.%d.%d.%d", l.subnet, zone+1, order+1),
				service: s,
			})
		}
	}
	return list
}
