// Package layout holds where the processes of a deployment stand.
package layout

import (
	"fmt"

	"verbenabank/vload/state/server"
)

// Ports of the processes of one instance.
const (
	CallersPort = 8080
	PeersPort   = 8090
	AdminPort   = 8070
	TargetPort  = 9000
)

// Service is one service of a deployment.
type Service struct {
	name     string
	count    int
	keyed    bool
	header   string
	behavior server.Behavior
}

// NewService returns a service with a count of servers that all behave alike.
func NewService(name string, count int, keyed bool, behavior server.Behavior) Service {
	return Service{name: name, count: count, keyed: keyed, behavior: behavior}
}

// WithKeyHeader returns the service with its keys in a request header.
func (s Service) WithKeyHeader(name string) Service {
	s.header = name
	return s
}

// KeyHeader returns the request header that carries the key, "" if the path does.
func (s Service) KeyHeader() string { return s.header }

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Keyed reports whether each key of the service has one owner.
func (s Service) Keyed() bool { return s.keyed }

// Behavior returns how its targets behave.
func (s Service) Behavior() server.Behavior { return s.behavior }

// Layout is one deployment.
type Layout struct {
	zones         []string
	services      []Service
	replicas      []string
	configuration string
	subnet        int
}

// New returns a layout. The replicas are the instances whose daemons are control
// replicas; configuration is the operators' folder.
func New(zones []string, services []Service, replicas []string, configuration string) Layout {
	return Layout{zones: zones, services: services, replicas: replicas, configuration: configuration}
}

// WithSubnet returns the layout on the addresses 127.subnet.zone.n.
func (l Layout) WithSubnet(subnet int) Layout {
	l.subnet = subnet
	return l
}

// Services returns the services.
func (l Layout) Services() []Service { return l.services }

// Service returns the service called name.
func (l Layout) Service(name string) (Service, bool) {
	for _, s := range l.services {
		if s.name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Replicas returns the instances of the control replicas.
func (l Layout) Replicas() []string { return l.replicas }

// ConfigurationFolder returns the operators' folder.
func (l Layout) ConfigurationFolder() string { return l.configuration }

// Instance is one target with its daemon.
type Instance struct {
	name    string
	zone    string
	host    string
	service Service
}

// Name returns the name of the instance.
func (i Instance) Name() string { return i.name }

// Zone returns its availability zone.
func (i Instance) Zone() string { return i.zone }

// Service returns the service of its target.
func (i Instance) Service() Service { return i.service }

// CallersAddress returns the address at which its daemon takes requests.
func (i Instance) CallersAddress() string { return fmt.Sprintf("%s:%d", i.host, CallersPort) }

// PeersAddress returns the address at which its daemon meets other daemons.
func (i Instance) PeersAddress() string { return fmt.Sprintf("%s:%d", i.host, PeersPort) }

// AdminAddress returns the address at which its daemon meets the target.
func (i Instance) AdminAddress() string { return fmt.Sprintf("%s:%d", i.host, AdminPort) }

// TargetAddress returns the address of its target.
func (i Instance) TargetAddress() string { return fmt.Sprintf("%s:%d", i.host, TargetPort) }

// Instances returns the instances, dealt to the zones in turn.
func (l Layout) Instances() []Instance {
	var list []Instance
	for _, s := range l.services {
		for n := range s.count {
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
