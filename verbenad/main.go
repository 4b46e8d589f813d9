// Command verbenad is the daemon of verbenabank: it runs next to a target, routes
// requests of callers and, with a data folder, is a control replica.
package main

import (
	"os"

	"verbenabank/verbenad/command/serve"
	"verbenabank/verbenad/command/start"
	"verbenabank/verbenad/state/config"
)

func main() {
	os.Exit(start.Run("verbenad", os.Stderr, func(config.Settings) []serve.Option { return nil }))
}
