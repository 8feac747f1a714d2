/** Wiring of the daemon: telemetry, heartbeats, peer calls and operator pages. */
package org.cactusshift.node.internal;
