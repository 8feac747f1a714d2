/** The daemon that every entry instance runs. */
package org.cactusshift.node;
