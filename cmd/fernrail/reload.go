// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"

	"fernrail/internal/transport"
)

// reloadOn reads the configuration again at each signal, until the process ends.
func (n *node) reloadOn(signals <-chan os.Signal) {
	for range signals {
		n.reload()
	}
}

// reload reads the configuration again and turns to the discovery that it names. All else goes on as it is.
func (n *node) reload() {
	reloaded, restartKeys, err := n.config.Reload(os.Getenv)
	if err != nil {
		n.log.Error().Err(err).Msg("new configuration not taken")
		return
	}
	if len(restartKeys) > 0 {
		n.log.Warn().Strs("keys", restartKeys).Msg("new configuration: these wait for a restart")
	}
	n.log.Info().Str("discovery", reloaded.Discovery).Msg("new configuration")
	if reloaded.Discovery != n.config.Discovery {
		n.config.Discovery = reloaded.Discovery
		n.router.SetEndpointSource(transport.NewDiscoveryClient(reloaded.Discovery, n.config.Names))
	}
}
