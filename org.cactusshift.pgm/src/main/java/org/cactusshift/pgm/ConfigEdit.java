package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/** An edit of the accepted configuration, which is retried after a conflict with another change. */
@FunctionalInterface
interface ConfigEdit {
    /** The maximum number of attempts before the command fails. */
    int MAXIMUM_ATTEMPTS = 5;

    /** Returns the edited configuration. */
    SiteConfig edit(SiteConfig accepted) throws CactusshiftException;

    /** Applies the edit and returns the version as which it was accepted. */
    default long applyWithRetry(StoreSession session, CommandLine line, String comment) throws CactusshiftException {
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            VersionedConfig accepted = session.current();
            SiteConfig changed = ConfigLoader.create().validate("accepted configuration", edit(accepted.config()));
            ApplyResult result = StoreSession.getOrThrow(session.apply(line, comment)
                    .setConfig(changed)
                    .setBaseVersion(accepted.version())
                    .call());
            if (result.outcome() != ApplyResult.Outcome.CONFLICT) {
                return result.version();
            }
        }
        throw new CactusshiftException(Failure.noEffect(
                "apply configuration",
                "key-value service",
                "conflicted with other changes " + MAXIMUM_ATTEMPTS + " times"));
    }
}
