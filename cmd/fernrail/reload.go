// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"

	"fernrail/internal/transport"
)

// reloadOn reloads the configuration at each signal. It never returns.
func (n *node) reloadOn(signals <-chan os.Signal) {
	for range signals {
		n.reload()
	}
}

// reload reads the configuration again and applies its discovery address. Other changes need a restart.
func (n *node) reload() {
	reloaded, restartKeys, err := n.config.Reload(os.Getenv)
	if err != nil {
		n.log.Error().Err(err).Msg("configuration reload failed; keeping the current configuration")
		return
	}
	if len(restartKeys) > 0 {
		n.log.Warn().Strs("keys", restartKeys).
			Msg("configuration reloaded; these changed keys take effect at the next restart")
	}
	n.log.Info().Str("discovery", reloaded.Discovery).Msg("configuration reloaded")
	if reloaded.Discovery != n.config.Discovery {
		n.config.Discovery = reloaded.Discovery
		n.router.SetEndpointSource(transport.NewDiscoveryClient(reloaded.Discovery, n.config.Names))
	}
}
