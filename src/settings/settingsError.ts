/** Invalid settings. The message has one line for each error, with the setting's path, its value and the expectation. */
export class SettingsError extends Error {}
