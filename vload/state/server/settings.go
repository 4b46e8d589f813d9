package server

// Settings are the settings of a target process. They are immutable.
type Settings struct {
	instance string
	service  string
	listen   string
	admin    string
	ledger   string
	behavior Behavior
}

// NewSettings returns the settings of the target of an instance. The target listens at listen and registers
// with the daemon at admin, or with none if admin is empty; ledger is the path of the file to which it
// appends.
func NewSettings(instance, service, listen, admin, ledger string, behavior Behavior) Settings {
	return Settings{
		instance: instance, service: service, listen: listen, admin: admin, ledger: ledger, behavior: behavior,
	}
}

// Instance returns the name of the instance.
func (s Settings) Instance() string { return s.instance }

// Service returns the name of the service of the target.
func (s Settings) Service() string { return s.service }

// Listen returns the address at which the target listens.
func (s Settings) Listen() string { return s.listen }

// Admin returns the admin address of the local daemon, "" if there is none.
func (s Settings) Admin() string { return s.admin }

// Ledger returns the path of the ledger file.
func (s Settings) Ledger() string { return s.ledger }

// Behavior returns the simulated behavior of the target.
func (s Settings) Behavior() Behavior { return s.behavior }
