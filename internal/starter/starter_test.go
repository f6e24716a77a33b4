package starter

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/fx"
	"gotest.tools/v3/assert"
)

func validSettings() Settings {
	return Settings{
		Name: "vm-1", Zone: "zone-a", CallerListen: "127.0.0.1:8080", LinkListen: "127.0.0.1:8081", OperatorListen: "127.0.0.1:8082",
		Platform: "http://127.0.0.1:7000", SharedKey: "0123456789abcdef", StopTimeout: time.Minute,
		Heartbeat: 150 * time.Millisecond, Suspicion: 600 * time.Millisecond, Lease: 800 * time.Millisecond,
	}.WithDefaults()
}

// A missing or cyclic dependency between components would otherwise only show when
// the daemon starts.
func TestDependencyGraphIsComplete(t *testing.T) {
	assert.NilError(t, fx.ValidateApp(options(validSettings())))
}

// Check must report all invalid settings at once.
func TestCheckReportsAllInvalidSettings(t *testing.T) {
	assert.NilError(t, validSettings().Check())
	settings := validSettings()
	settings.Name, settings.Zone, settings.SharedKey, settings.Platform = "a b", "z.1", "short", "platform"
	settings.LinkListen, settings.LinkAddress = "nowhere", ":8081"
	settings.OperatorListen = settings.CallerListen
	settings.Seeds = []string{"vm-2=zone-a"}
	settings.Lease = 3 * time.Second
	err := settings.Check()
	assert.Assert(t, err != nil)
	for _, setting := range []string{"--name", "--zone", "--shared-key", "--platform", "--link-listen", "--link-address", "is also the value of", "--seeds", "--lease"} {
		assert.Assert(t, strings.Contains(err.Error(), setting), "%s is missing in: %v", setting, err)
	}
}
