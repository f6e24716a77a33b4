// Package starter reads the settings of cuminstreamd, constructs its components
// with fx, and runs them until shutdown.
package starter
