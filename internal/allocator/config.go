package allocator

import "time"

// ConfigSource knows the newest configuration of this VM. After the store was restored
// from an old copy it may be newer than the one in the store.
type ConfigSource interface {
	// ConfigVersion returns the version of the newest configuration, 0 for none.
	ConfigVersion() uint64
	// LostConfig returns the newest configuration as the store had it if the store has an
	// older one now, and otherwise nil.
	LostConfig() []byte
	// OfferConfig puts a configuration of another VM into force if it is newer.
	OfferConfig(spec []byte)
}

const (
	// maxRelayedConfig bounds the size of a configuration that is sent to another VM. The
	// operator writes larger ones again.
	maxRelayedConfig = 512 << 10
	// configConfirmations is the number of reports that each broker must have answered
	// until a VM that starts in a restored store serves callers: with the first one, a
	// broker learns that another VM knows a newer configuration. configPatience bounds the
	// wait for them.
	configConfirmations = 2
	configPatience      = 3 * time.Second
)

// reportConfig adds the version of this VM's configuration to a report, and the
// configuration itself if the store has lost it and the broker has an older one.
func (allocator *Allocator) reportConfig(vm string, message *reportMessage) {
	if allocator.Config == nil {
		return
	}
	message.ConfigVersion = allocator.Config.ConfigVersion()
	allocator.mutex.Lock()
	lacking := allocator.peer(vm).configVersion < message.ConfigVersion && allocator.peer(vm).answers > 0
	allocator.mutex.Unlock()
	if lacking {
		message.Config = allocator.relayedConfig(vm)
	}
}

// answerConfig applies the configuration of a report, and adds this VM's one to the
// answer if the store has lost it and the reporting VM has an older one.
func (allocator *Allocator) answerConfig(vm string, message reportMessage, answer *reportAnswer) {
	if allocator.Config == nil {
		return
	}
	if len(message.Config) > 0 {
		allocator.Config.OfferConfig(message.Config)
	}
	answer.ConfigVersion = allocator.Config.ConfigVersion()
	if message.ConfigVersion < answer.ConfigVersion {
		answer.Config = allocator.relayedConfig(vm)
	}
}

// applyAnsweredConfig applies the configuration of a broker's answer.
func (allocator *Allocator) applyAnsweredConfig(vm string, answer reportAnswer) {
	allocator.mutex.Lock()
	peer := allocator.peer(vm)
	peer.configVersion = answer.ConfigVersion
	peer.answers++
	allocator.mutex.Unlock()
	if len(answer.Config) > 0 && allocator.Config != nil {
		allocator.Config.OfferConfig(answer.Config)
	}
}

// relayedConfig returns the configuration to send to another VM, or nil if that VM gets
// it from the store.
func (allocator *Allocator) relayedConfig(vm string) []byte {
	spec := allocator.Config.LostConfig()
	if len(spec) == 0 {
		return nil
	}
	if len(spec) > maxRelayedConfig {
		allocator.Log.Warn("configuration that the restored store lacks is too large to be sent", "peer", vm, "bytes", len(spec))
		return nil
	}
	allocator.Log.Info("configuration that the restored store lacks is sent to another VM", "peer", vm, "version", allocator.Config.ConfigVersion())
	return spec
}

// ConfigConfirmed reports whether this VM knows the newest configuration that brokers do,
// as far as it reaches them. The store may have been restored from a copy with an older
// one.
func (allocator *Allocator) ConfigConfirmed() bool {
	if allocator.storeEra() == 0 || allocator.Clock.Now().Sub(allocator.startedAt) >= configPatience {
		return true
	}
	for _, service := range allocator.allServices() {
		vm, _ := service.brokerVM()
		if vm == "" || vm == allocator.VM {
			continue
		}
		allocator.mutex.Lock()
		peer := allocator.peer(vm)
		confirmed := peer.answers >= configConfirmations || !peer.lostSince.IsZero()
		allocator.mutex.Unlock()
		if !confirmed {
			return false
		}
	}
	return true
}
