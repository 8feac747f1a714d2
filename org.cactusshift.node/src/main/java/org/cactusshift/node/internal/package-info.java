/** Creates and connects the components of a node: telemetry, heartbeats, peer calls, duties and operator pages. */
package org.cactusshift.node.internal;
