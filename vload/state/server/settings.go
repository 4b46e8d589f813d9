package server

// Settings are what a target process is started with.
type Settings struct {
	instance string
	service  string
	listen   string
	admin    string
	ledger   string
	behavior Behavior
}

// NewSettings returns the settings of the target of an instance. It listens at
// listen and announces itself to the daemon at admin, or to none if admin is
// empty; ledger is the file that it appends to.
func NewSettings(instance, service, listen, admin, ledger string, behavior Behavior) Settings {
	return Settings{
		instance: instance, service: service, listen: listen, admin: admin, ledger: ledger, behavior: behavior,
	}
}

// Instance returns the name of the instance.
func (s Settings) Instance() string { return s.instance }

// Service returns the service of the target.
func (s Settings) Service() string { return s.service }

// Listen returns the address of the target.
func (s Settings) Listen() string { return s.listen }

// Admin returns the admin address of the daemon beside, or "".
func (s Settings) Admin() string { return s.admin }

// Ledger returns the path of the ledger file.
func (s Settings) Ledger() string { return s.ledger }

// Behavior returns how the target behaves.
func (s Settings) Behavior() Behavior { return s.behavior }
